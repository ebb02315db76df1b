package org.dahliapass.lab.fleet;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.dahliapass.decisions.admission.AdmissionOrder;
import org.dahliapass.decisions.admission.CustomerSharing;
import org.dahliapass.decisions.limits.TargetLimitSharing;
import org.dahliapass.decisions.traffic.TrafficPolicy;
import org.dahliapass.kernel.IniFile;
import org.dahliapass.kernel.IniSection;
import org.dahliapass.kernel.OperationException;

/**
 * A simulated service, its load and the faults of its targets.
 *
 * @param vms the number of VMs that accept requests
 * @param duration the simulated time
 * @param messageDelayMillis the delay of messages between VMs, in milliseconds
 * @param messageLossRate the share of messages between VMs that is lost
 * @param targets the number of targets
 * @param slots the requests that a target runs concurrently
 * @param queue the capacity of a target's queue
 * @param baseFailureRate the share of requests that healthy targets fail
 * @param failureMode how a target fails requests during a failure period
 * @param failureShare the share of requests that fail during a failure period
 * @param meanFailurePeriod the mean length of a failure period
 * @param meanHealthyPeriod the mean time between failure periods
 * @param lossyPathShare the share of paths between a VM and a target that drop all requests during
 *     the middle third
 * @param restartDelay the time that a crashed target takes to restart
 * @param limitedShare the share of targets that name a request limit in the middle third
 * @param requestLimit the limit that they name, in requests per second
 * @param limitSharing how the VMs divide a target's limit
 * @param restingShare the share of targets that turn all requests away in the middle third and ask
 *     for a rest
 * @param rest the rest that they ask for
 * @param leavingShare the share of targets that say that they are leaving from the start of the
 *     middle third and exit at its end; no VM learns it otherwise
 * @param sheddingShare the share of targets that shed requests in the middle third, although they
 *     have slots free
 * @param shedRate the share of requests that they shed
 * @param rackShare the share of targets that crash together at the start of the middle third
 * @param burstFactor the factor by which the load changes in the middle third
 * @param policy which mechanisms the decisions use
 * @param loads the load of each request kind
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
        double limitedShare,
        double requestLimit,
        TargetLimitSharing limitSharing,
        double restingShare,
        Duration rest,
        double leavingShare,
        double sheddingShare,
        double shedRate,
        double rackShare,
        double burstFactor,
        TrafficPolicy policy,
        List<RequestLoad> loads) {
    private static final Duration MAX_DURATION = Duration.ofHours(1);
    private static final Duration MIN_DURATION = Duration.ofMillis(1);
    private static final Duration DEFAULT_REST = Duration.ofSeconds(3);
    private static final Duration DEFAULT_RESTART_DELAY = Duration.ofSeconds(4);
    private static final long LEARNING_MILLIS = 1_000;
    private static final double RETRY_SHARE = 0.18;

    Scenario {
        loads = List.copyOf(loads);
    }

    /**
     * Reads a built-in scenario.
     *
     * @throws OperationException if there is no such scenario
     */
    static Scenario ofName(String name) {
        String path = "/scenarios/" + name + ".ini";
        try (InputStream file = Scenario.class.getResourceAsStream(path)) {
            if (file == null) {
                throw new OperationException(
                        "read the scenario", name, "there is no built-in scenario of this name");
            }
            return read(name, new String(file.readAllBytes(), StandardCharsets.UTF_8));
        } catch (IOException failure) {
            throw new OperationException("read the scenario", name, failure.getMessage(), failure);
        }
    }

    /**
     * Reads a scenario from INI text.
     *
     * @throws org.dahliapass.kernel.SettingsException if the text is not a valid scenario; lists
     *     all problems
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
                        fleet.duration("length", Duration.ofSeconds(1), MAX_DURATION),
                        fleet.number("news-delay-ms", 0, 10_000, 1),
                        fleet.fraction("news-loss", 0.01),
                        (int) targets.number("count", 1, 10_000),
                        (int) targets.number("slots", 1, 1_000),
                        (int) targets.number("queue", 0, 1_000),
                        targets.fraction("own-failures", 0.01),
                        targets.enumValue("bout", FailureMode.class),
                        targets.fraction("bout-share"),
                        targets.duration("bout-length", MIN_DURATION, MAX_DURATION),
                        targets.duration("sound-length", MIN_DURATION, MAX_DURATION),
                        targets.fraction("cut-share", 0),
                        targets.duration(
                                "restart", MIN_DURATION, MAX_DURATION, DEFAULT_RESTART_DELAY),
                        targets.fraction("limited-share", 0),
                        targets.decimal("limit-per-second", 0, 1_000, 0),
                        targets.enumValue(
                                "limit-sharing",
                                TargetLimitSharing.class,
                                TargetLimitSharing.FEW_VMS),
                        targets.fraction("resting-share", 0),
                        targets.duration("rest", MIN_DURATION, MAX_DURATION, DEFAULT_REST),
                        targets.fraction("leaving-share", 0),
                        targets.fraction("shedding-share", 0),
                        targets.fraction("shed-rate", 0),
                        targets.fraction("rack-share", 0),
                        fleet.decimal("burst", 0.1, 100, 1),
                        file.optionalSection("policy")
                                .map(Scenario::policy)
                                .orElse(TrafficPolicy.BASIC),
                        loads);
        file.throwIfInvalid();
        return scenario;
    }

    private static TrafficPolicy policy(IniSection policy) {
        return new TrafficPolicy(
                policy.enumValue("admission-order", AdmissionOrder.class, AdmissionOrder.LANES),
                policy.enumValue("customer-shares", CustomerSharing.class, CustomerSharing.VM),
                policy.text("hedge-by-age", "off").equals("on"),
                policy.text("learn-acceptance", "off").equals("on"),
                policy.decimal("zone-crossing-cost", 0, 1, 0),
                policy.text("learn-response-times", "off").equals("on"),
                policy.text("learn-free-capacity", "off").equals("on"),
                policy.text("yield-to-other-vms", "off").equals("on"));
    }

    /** Returns this scenario with other mechanisms. */
    Scenario withPolicy(TrafficPolicy newPolicy) {
        return new Scenario(
                name,
                vms,
                duration,
                messageDelayMillis,
                messageLossRate,
                targets,
                slots,
                queue,
                baseFailureRate,
                failureMode,
                failureShare,
                meanFailurePeriod,
                meanHealthyPeriod,
                lossyPathShare,
                restartDelay,
                limitedShare,
                requestLimit,
                limitSharing,
                restingShare,
                rest,
                leavingShare,
                sheddingShare,
                shedRate,
                rackShare,
                burstFactor,
                newPolicy,
                loads);
    }

    /**
     * Returns whether a time lies in the middle third but for its first second, in which the VMs
     * learn of its faults.
     */
    boolean isKnownWave(long elapsedMillis) {
        return isMiddleThird(elapsedMillis) && isMiddleThird(elapsedMillis - LEARNING_MILLIS);
    }

    /** Returns whether a time lies in the middle third, when bursts and path faults apply. */
    boolean isMiddleThird(long elapsedMillis) {
        long third = duration.toMillis() / 3;
        return elapsedMillis >= third && elapsedMillis < 2 * third;
    }
}
