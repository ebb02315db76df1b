package org.dahliapass.lab.fleet;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.dahliapass.kernel.IniFile;
import org.dahliapass.kernel.IniSection;
import org.dahliapass.kernel.OperationException;

/**
 * A service under a load, and what goes wrong with its targets.
 *
 * @param name its name
 * @param vms VMs that take callers
 * @param duration how long it is played
 * @param messageDelayMillis how long news takes between two VMs, in milliseconds
 * @param messageLossRate the share of news that is lost
 * @param targets how many targets there are
 * @param slots requests that a target works on at once
 * @param queue requests that wait at a target before it refuses more
 * @param baseFailureRate the share of work that sound targets fail
 * @param failureMode what a target does in a bout
 * @param failureShare the share of work that it fails then
 * @param meanFailurePeriod the mean length of a bout
 * @param meanHealthyPeriod the mean time between bouts
 * @param lossyPathShare the share of pairs of a VM and a target whose path loses all, for the
 *     middle third
 * @param restartDelay how long a target that ended takes to be back
 * @param rackShare the share of the targets that end at once at the begin of the middle third
 * @param burstFactor the load in the middle third, as a multiple
 * @param loads its kinds of request
 */
record Scenario(
        String name,
        int vms,
        Duration duration,
        long messageDelayMillis,
        double messageLossRate,
        int targets,
        int slots,
        int queue,
        double baseFailureRate,
        FailureMode failureMode,
        double failureShare,
        Duration meanFailurePeriod,
        Duration meanHealthyPeriod,
        double lossyPathShare,
        Duration restartDelay,
        double rackShare,
        double burstFactor,
        List<RequestLoad> loads) {
    private static final Duration LONGEST = Duration.ofHours(1);
    private static final Duration SHORTEST = Duration.ofMillis(1);
    private static final Duration DEFAULT_RESTART = Duration.ofSeconds(4);
    private static final double RETRY_SHARE = 0.18;

    Scenario {
        loads = List.copyOf(loads);
    }

    /** Reads a scenario that comes with the tool. */
    static Scenario ofName(String name) {
        String path = "/scenarios/" + name + ".ini";
        try (InputStream file = Scenario.class.getResourceAsStream(path)) {
            if (file == null) {
                throw new OperationException(
                        "read the scenario", name, "There is none of this name.");
            }
            return read(name, new String(file.readAllBytes(), StandardCharsets.UTF_8));
        } catch (IOException failure) {
            throw new OperationException("read the scenario", name, failure.getMessage(), failure);
        }
    }

    /**
     * Reads a scenario from a text.
     *
     * @throws org.dahliapass.kernel.SettingsException with all problems of the text
     */
    static Scenario read(String name, String text) {
        IniFile file = IniFile.parse(name, text);
        IniSection fleet = file.section("fleet");
        IniSection targets = file.section("targets");
        List<RequestLoad> loads =
                file.sectionsWithPrefix("kind").stream()
                        .map(section -> RequestLoad.read(section, RETRY_SHARE))
                        .toList();
        Scenario scenario =
                new Scenario(
                        name,
                        (int) fleet.number("vms", 1, 1_000),
                        fleet.duration("length", Duration.ofSeconds(1), LONGEST),
                        fleet.number("news-delay-ms", 0, 10_000, 1),
                        fleet.fraction("news-loss", 0.01),
                        (int) targets.number("count", 1, 10_000),
                        (int) targets.number("slots", 1, 1_000),
                        (int) targets.number("queue", 0, 1_000),
                        targets.fraction("own-failures", 0.01),
                        targets.enumValue("bout", FailureMode.class),
                        targets.fraction("bout-share"),
                        targets.duration("bout-length", SHORTEST, LONGEST),
                        targets.duration("sound-length", SHORTEST, LONGEST),
                        targets.fraction("cut-share", 0),
                        targets.duration("restart", SHORTEST, LONGEST, DEFAULT_RESTART),
                        targets.fraction("rack-share", 0),
                        fleet.decimal("burst", 0.1, 100, 1),
                        loads);
        file.throwIfInvalid();
        return scenario;
    }

    /** Returns whether a time lies in the middle third, in which bursts and cuts happen. */
    boolean isMiddleThird(long elapsedMillis) {
        long third = duration.toMillis() / 3;
        return elapsedMillis >= third && elapsedMillis < 2 * third;
    }
}
