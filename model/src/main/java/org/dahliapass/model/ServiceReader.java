package org.dahliapass.model;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.dahliapass.kernel.IniSection;

/**
 * Reads one section {@code [service NAME]} of a template.
 *
 * <p>Exactly one of two keys says where the targets come from:
 *
 * <ul>
 *   <li>{@code targets}: a list of {@code IP:PORT@ZONE}, separated by commas
 *   <li>{@code provider}: another customer whose template lists them; all keys below are unknown
 *       then, as the provider sets them
 * </ul>
 *
 * <p>The other keys, with their bounds and defaults:
 *
 * <ul>
 *   <li>{@code slots}: 1 to 10000, must be given
 *   <li>{@code connections}: 1 to 1000000, must be given
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
    private static final int MOST_SLOTS = 10_000;
    private static final int MOST_CONNECTIONS = 1_000_000;
    private static final int MOST_CELL = 64;
    private static final int DEFAULT_CELL = 6;
    private static final double DEFAULT_FLOOR = 0.6;
    private static final double LEAST_TOLERANCE = 1e-9;
    private static final double MOST_TOLERANCE = 0.5;
    private static final double LEAST_FAILURE_SHARE = 0.01;
    private static final double LEAST_SLOW_FACTOR = 1.1;
    private static final double MOST_SLOW_FACTOR = 1000;
    private static final Duration LEAST_RETURN = Duration.ofMillis(100);
    private static final Duration MOST_RETURN = Duration.ofHours(1);
    private static final DetectionPolicy DEFAULT_DETECTION =
            new DetectionPolicy(0.001, 0.5, 4, Duration.ofSeconds(10), Duration.ofSeconds(20));
    private static final String TARGETS_ALLOWED =
            "a list of IP:PORT@ZONE separated by commas, such as 10.1.0.11:8080@kathmandu-a";
    private static final String OCTET = "(25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])";
    private static final Pattern IP_NUMBER = Pattern.compile(OCTET + "(\\." + OCTET + "){3}");

    private final IniSection mSection;
    private final String mCustomer;
    private final Set<Endpoint> mSeen;

    /**
     * Creates a reader.
     *
     * @param customer the customer whose template this is
     * @param seen the endpoints of the services read before; this one's are added
     */
    ServiceReader(IniSection section, String customer, Set<Endpoint> seen) {
        mSection = section;
        mCustomer = customer;
        mSeen = seen;
    }

    /** Reads the section; problems go to its file. */
    ServiceTemplate read(String name, List<RequestKind> kinds) {
        if (mSection.has("provider")) {
            return readReference(name, kinds);
        }
        return new ServiceTemplate(
                name,
                mCustomer,
                readTargets(),
                (int) mSection.number("slots", 1, MOST_SLOTS),
                (int) mSection.number("connections", 1, MOST_CONNECTIONS),
                mSection.fraction("floor", DEFAULT_FLOOR),
                (int) mSection.number("cell", 1, MOST_CELL, DEFAULT_CELL),
                readPath("health-path", "/health"),
                readPath("load-path", "/load"),
                readDetection(),
                kinds);
    }

    /** Reads a service of another customer: the cell and the targets' limits are its provider's. */
    private ServiceTemplate readReference(String name, List<RequestKind> kinds) {
        String provider =
                mSection.value(
                        "provider", TemplateParser.NAME_FORMAT, TemplateParser::parseName, "");
        if (!provider.isEmpty() && provider.equals(mCustomer)) {
            mSection.reportProblem(
                    "provider",
                    "the customer itself",
                    "another customer; a service of one's own lists its targets");
        }
        if (mSection.has("targets")) {
            List<String> unused = mSection.list("targets");
            mSection.reportProblem("targets", "targets besides a provider", "exactly one of them");
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
        List<String> parts = mSection.list("targets");
        List<Target> targets = new ArrayList<>();
        for (String part : parts) {
            Optional<Target> target = parseTarget(part);
            if (target.isEmpty()) {
                mSection.reportProblem("targets", "'" + part + "'", TARGETS_ALLOWED);
                continue;
            }
            if (!mSeen.add(target.get().endpoint())) {
                mSection.reportProblem(
                        "targets",
                        target.get().endpoint() + " a second time",
                        "each target once in a template");
            }
            targets.add(target.get());
        }
        if (parts.isEmpty() && mSection.isValid()) {
            mSection.reportProblem("targets", "no target", TARGETS_ALLOWED);
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
                        .filter(address -> IP_NUMBER.matcher(address.host()).matches());
        Optional<String> availabilityZone = TemplateParser.parseName(text.substring(at + 1));
        return endpoint.flatMap(
                address -> availabilityZone.map(zoneName -> new Target(address, zoneName)));
    }

    private String readPath(String key, String fallback) {
        if (!mSection.has(key)) {
            return mSection.text(key, fallback);
        }
        return mSection.value(key, PathPattern.LITERAL_FORMAT, PathPattern::parseLiteral, fallback);
    }

    private DetectionPolicy readDetection() {
        DetectionPolicy fallback = DEFAULT_DETECTION;
        double failureShare = mSection.fraction("failure-share", fallback.failureShare());
        if (failureShare < LEAST_FAILURE_SHARE && mSection.isValid()) {
            mSection.reportProblem("failure-share", "less than 1%", "a percentage from 1% to 100%");
        }
        return new DetectionPolicy(
                mSection.decimal(
                        "false-ejection-tolerance",
                        LEAST_TOLERANCE,
                        MOST_TOLERANCE,
                        fallback.falseEjectionTolerance()),
                failureShare,
                mSection.decimal(
                        "slow-factor", LEAST_SLOW_FACTOR, MOST_SLOW_FACTOR, fallback.slowFactor()),
                mSection.duration(
                        "return-after", LEAST_RETURN, MOST_RETURN, fallback.returnAfter()),
                mSection.duration("slow-start", Duration.ZERO, MOST_RETURN, fallback.slowStart()));
    }
}
