package org.dahliapass.model;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.dahliapass.kernel.IniSection;

/**
 * Parses one section {@code [service NAME]} of a template.
 *
 * <p>Exactly one of two keys defines the targets:
 *
 * <ul>
 *   <li>{@code targets}: a list of {@code IP:PORT@ZONE}, separated by commas
 *   <li>{@code provider}: another customer whose template lists the targets; the keys below are not
 *       allowed in this case, because the provider sets them
 * </ul>
 *
 * <p>The other keys, with their bounds and defaults:
 *
 * <ul>
 *   <li>{@code slots}: 1 to 10000; required
 *   <li>{@code connections}: 1 to 1000000; required
 *   <li>{@code floor}: 0% to 100%, default 60%
 *   <li>{@code cell}: 1 to 64 VMs, default 6
 *   <li>{@code health-path}, {@code load-path}: defaults {@code /health}, {@code /load}
 *   <li>{@code false-ejection-tolerance}: 0.000000001 to 0.5, default 0.001
 *   <li>{@code failure-share}: 1% to 100%, default 50%
 *   <li>{@code slow-factor}: 1.1 to 1000, default 4
 *   <li>{@code return-after}: 100ms to 1h, default 10s
 *   <li>{@code slow-start}: 0s to 1h, default 20s
 * </ul>
 */
final class ServiceReader {
    private static final int MAX_SLOTS = 10_000;
    private static final int MAX_CONNECTIONS = 1_000_000;
    private static final int MAX_CELL_SIZE = 64;
    private static final int DEFAULT_CELL_SIZE = 6;
    private static final double DEFAULT_FLOOR_SHARE = 0.6;
    private static final double MIN_TOLERANCE = 1e-9;
    private static final double MAX_TOLERANCE = 0.5;
    private static final double MIN_FAILURE_SHARE = 0.01;
    private static final double MIN_SLOW_FACTOR = 1.1;
    private static final double MAX_SLOW_FACTOR = 1000;
    private static final Duration MIN_RETURN_AFTER = Duration.ofMillis(100);
    private static final Duration MAX_RETURN_AFTER = Duration.ofHours(1);
    private static final DetectionPolicy DEFAULT_DETECTION =
            new DetectionPolicy(0.001, 0.5, 4, Duration.ofSeconds(10), Duration.ofSeconds(20));
    private static final String TARGETS_FORMAT =
            "a list of IP:PORT@ZONE separated by commas, such as 10.1.0.11:8080@kathmandu-a";
    private static final String OCTET = "(25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])";
    private static final Pattern IP_ADDRESS = Pattern.compile(OCTET + "(\\." + OCTET + "){3}");

    private final IniSection mSection;
    private final String mCustomer;
    private final Set<Endpoint> mKnownEndpoints;

    /**
     * Creates a reader.
     *
     * @param customer the customer of the template
     * @param knownEndpoints the endpoints of all services parsed so far; the reader adds to the set
     */
    ServiceReader(IniSection section, String customer, Set<Endpoint> knownEndpoints) {
        mSection = section;
        mCustomer = customer;
        mKnownEndpoints = knownEndpoints;
    }

    /** Parses the section and reports problems to its file. */
    ServiceTemplate read(String name, List<RequestKind> kinds) {
        if (mSection.has("provider")) {
            return readReference(name, kinds);
        }
        return new ServiceTemplate(
                name,
                mCustomer,
                readTargets(),
                (int) mSection.number("slots", 1, MAX_SLOTS),
                (int) mSection.number("connections", 1, MAX_CONNECTIONS),
                mSection.fraction("floor", DEFAULT_FLOOR_SHARE),
                (int) mSection.number("cell", 1, MAX_CELL_SIZE, DEFAULT_CELL_SIZE),
                readPath("health-path", "/health"),
                readPath("load-path", "/load"),
                readDetection(),
                kinds);
    }

    /** Parses a reference to a service of another customer, which sets all other properties. */
    private ServiceTemplate readReference(String name, List<RequestKind> kinds) {
        String provider =
                mSection.value(
                        "provider", TemplateParser.NAME_FORMAT, TemplateParser::parseName, "");
        if (!provider.isEmpty() && provider.equals(mCustomer)) {
            mSection.reportProblem(
                    "provider",
                    "the customer itself",
                    "another customer, or targets for a service of this customer");
        }
        if (mSection.has("targets")) {
            List<String> unused = mSection.list("targets");
            mSection.reportProblem("targets", "both targets and a provider", "exactly one of them");
        }
        return new ServiceTemplate(
                name, provider, List.of(), 0, 0, 0, 0, "", "", DEFAULT_DETECTION, kinds);
    }

    private List<Target> readTargets() {
        if (!mSection.has("targets")) {
            List<String> unused = mSection.list("targets");
            mSection.reportProblem(
                    "targets", "neither targets nor a provider", "exactly one of them");
            return List.of();
        }
        List<String> entries = mSection.list("targets");
        List<Target> targets = new ArrayList<>();
        for (String entry : entries) {
            Optional<Target> target = parseTarget(entry);
            if (target.isEmpty()) {
                mSection.reportProblem("targets", "'" + entry + "'", TARGETS_FORMAT);
                continue;
            }
            if (!mKnownEndpoints.add(target.get().endpoint())) {
                mSection.reportProblem(
                        "targets",
                        target.get().endpoint() + " more than once",
                        "each target once in a template");
            }
            targets.add(target.get());
        }
        if (entries.isEmpty() && mSection.isValid()) {
            mSection.reportProblem("targets", "no target", TARGETS_FORMAT);
        }
        return targets;
    }

    private static Optional<Target> parseTarget(String text) {
        int at = text.indexOf('@');
        if (at < 0) {
            return Optional.empty();
        }
        Optional<Endpoint> endpoint =
                Endpoint.parse(text.substring(0, at))
                        .filter(address -> IP_ADDRESS.matcher(address.host()).matches());
        Optional<String> availabilityZone = TemplateParser.parseName(text.substring(at + 1));
        return endpoint.flatMap(address -> availabilityZone.map(zone -> new Target(address, zone)));
    }

    private String readPath(String key, String defaultValue) {
        if (!mSection.has(key)) {
            return mSection.text(key, defaultValue);
        }
        return mSection.value(
                key, PathPattern.LITERAL_FORMAT, PathPattern::parseLiteral, defaultValue);
    }

    private DetectionPolicy readDetection() {
        DetectionPolicy defaults = DEFAULT_DETECTION;
        double failureShare = mSection.fraction("failure-share", defaults.failureShare());
        if (failureShare < MIN_FAILURE_SHARE && mSection.isValid()) {
            mSection.reportProblem("failure-share", "less than 1%", "a percentage from 1% to 100%");
        }
        return new DetectionPolicy(
                mSection.decimal(
                        "false-ejection-tolerance",
                        MIN_TOLERANCE,
                        MAX_TOLERANCE,
                        defaults.falseEjectionTolerance()),
                failureShare,
                mSection.decimal(
                        "slow-factor", MIN_SLOW_FACTOR, MAX_SLOW_FACTOR, defaults.slowFactor()),
                mSection.duration(
                        "return-after", MIN_RETURN_AFTER, MAX_RETURN_AFTER, defaults.returnAfter()),
                mSection.duration(
                        "slow-start", Duration.ZERO, MAX_RETURN_AFTER, defaults.slowStart()));
    }
}
