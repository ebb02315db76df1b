package org.dahliapass.model;

import java.time.Duration;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.dahliapass.kernel.IniSection;
import org.dahliapass.model.burn.Outcome;

/**
 * Parses one section {@code [kind SERVICE NAME]} of a template.
 *
 * <p>The keys, with their bounds and defaults:
 *
 * <ul>
 *   <li>{@code method}: DELETE, GET, HEAD, PATCH, POST or PUT; required
 *   <li>{@code path}: required; with the ending {@code /**} it is a prefix
 *   <li>{@code idempotent}: yes or no; required
 *   <li>{@code deadline}: 10ms to 24h, default 30s
 *   <li>{@code patience}: 0s to the deadline, default 10s or the deadline if that is shorter
 *   <li>{@code late-after}: 1ms to the deadline, default 5s or the deadline if that is shorter
 *   <li>{@code maximum-body}: 0B to 16GB, default 64KB
 *   <li>{@code rate}: 0 to 1000000 requests per second and VM of the cell, default 0: no limit
 *   <li>{@code retry-budget}: 0% to 100%, default 10%, or 0% if not idempotent
 *   <li>{@code hedge-after}: 0s to the deadline, default 0s: never
 *   <li>{@code bulky}: yes or no, default no
 *   <li>{@code objective}: 50% to 99.9999%, default 99.9%
 *   <li>{@code bad-outcomes}: the outcomes that consume the error budget, any of failed, refused,
 *       unknown, late, cut; default all of them
 * </ul>
 */
final class KindReader {
    private static final Set<String> METHODS =
            Set.of("DELETE", "GET", "HEAD", "PATCH", "POST", "PUT");
    private static final Duration MIN_DEADLINE = Duration.ofMillis(10);
    private static final Duration MAX_DEADLINE = Duration.ofHours(24);
    private static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(30);
    private static final Duration DEFAULT_PATIENCE = Duration.ofSeconds(10);
    private static final Duration MIN_LATE_AFTER = Duration.ofMillis(1);
    private static final Duration DEFAULT_LATE_AFTER = Duration.ofSeconds(5);
    private static final long DEFAULT_BODY_BYTES = 64L << 10;
    private static final long MAX_BODY_BYTES = 16L << 30;
    private static final double MAX_RATE = 1_000_000;
    private static final double DEFAULT_RETRY_SHARE = 0.1;
    private static final double MIN_OBJECTIVE = 0.5;
    private static final double MAX_OBJECTIVE = 0.999_999;
    private static final double DEFAULT_OBJECTIVE = 0.999;

    private static final Set<Outcome> BAD_OUTCOMES = EnumSet.complementOf(EnumSet.of(Outcome.GOOD));

    private final IniSection mSection;

    KindReader(IniSection section) {
        mSection = section;
    }

    /** Parses the section and reports problems to its file. */
    RequestKind read(String name) {
        String method =
                mSection.value(
                        "method",
                        "DELETE, GET, HEAD, PATCH, POST or PUT",
                        this::parseMethod,
                        "GET");
        PathPattern path =
                mSection.value(
                        "path",
                        PathPattern.FORMAT,
                        PathPattern::parse,
                        new PathPattern("/", false));
        Idempotency idempotency =
                mSection.yesNo("idempotent") ? Idempotency.IDEMPOTENT : Idempotency.AT_MOST_ONCE;
        Duration deadline =
                mSection.duration("deadline", MIN_DEADLINE, MAX_DEADLINE, DEFAULT_DEADLINE);
        RequestKind kind =
                new RequestKind(
                        name,
                        method,
                        path.path(),
                        path.prefix(),
                        idempotency,
                        deadline,
                        readUpToDeadline("patience", Duration.ZERO, DEFAULT_PATIENCE, deadline),
                        readUpToDeadline(
                                "late-after", MIN_LATE_AFTER, DEFAULT_LATE_AFTER, deadline),
                        mSection.size("maximum-body", 0, MAX_BODY_BYTES, DEFAULT_BODY_BYTES),
                        mSection.decimal("rate", 0, MAX_RATE, 0),
                        mSection.fraction(
                                "retry-budget",
                                idempotency.isRepeatable() ? DEFAULT_RETRY_SHARE : 0),
                        readUpToDeadline("hedge-after", Duration.ZERO, Duration.ZERO, deadline),
                        mSection.yesNo("bulky", false),
                        mSection.fraction("objective", DEFAULT_OBJECTIVE),
                        readBadOutcomes());
        if (mSection.isValid()) {
            reportContradictions(kind);
        }
        return kind;
    }

    private Optional<String> parseMethod(String text) {
        return Optional.of(text).filter(METHODS::contains);
    }

    private Duration readUpToDeadline(
            String key, Duration min, Duration defaultValue, Duration deadline) {
        Duration shorter = defaultValue.compareTo(deadline) < 0 ? defaultValue : deadline;
        return mSection.duration(key, min, MAX_DEADLINE, shorter);
    }

    private Set<Outcome> readBadOutcomes() {
        boolean present = mSection.has("bad-outcomes");
        List<String> words = mSection.list("bad-outcomes");
        Set<Outcome> outcomes = EnumSet.noneOf(Outcome.class);
        for (String word : words) {
            Optional<Outcome> outcome =
                    BAD_OUTCOMES.stream().filter(bad -> settingValue(bad).equals(word)).findFirst();
            outcome.ifPresentOrElse(outcomes::add, () -> reportOutcome("'" + word + "'"));
        }
        if (present && words.isEmpty() && mSection.isValid()) {
            reportOutcome("no outcome");
        }
        return present ? outcomes : BAD_OUTCOMES;
    }

    private void reportOutcome(String actual) {
        String allowed =
                BAD_OUTCOMES.stream()
                        .map(KindReader::settingValue)
                        .collect(Collectors.joining(", "));
        mSection.reportProblem("bad-outcomes", actual, "one or more of " + allowed);
    }

    private static String settingValue(Outcome outcome) {
        return outcome.name().toLowerCase(Locale.ROOT);
    }

    private void reportContradictions(RequestKind kind) {
        reportBeyondDeadline("patience", kind.patience(), kind);
        reportBeyondDeadline("late-after", kind.lateAfter(), kind);
        reportBeyondDeadline("hedge-after", kind.hedgeAfter(), kind);
        if (kind.objective() < MIN_OBJECTIVE || kind.objective() > MAX_OBJECTIVE) {
            mSection.reportProblem(
                    "objective", kind.objective() * 100 + "%", "a percentage from 50% to 99.9999%");
        }
        if (kind.idempotency().isRepeatable()) {
            return;
        }
        if (kind.retryShare() > 0) {
            mSection.reportProblem(
                    "retry-budget",
                    "retries for a kind that is not idempotent",
                    "0%, or idempotent = yes");
        }
        if (!kind.hedgeAfter().isZero()) {
            mSection.reportProblem(
                    "hedge-after",
                    "hedging for a kind that is not idempotent",
                    "0s, or idempotent = yes");
        }
    }

    private void reportBeyondDeadline(String key, Duration value, RequestKind kind) {
        if (value.compareTo(kind.deadline()) > 0) {
            mSection.reportProblem(
                    key,
                    value.toMillis() + "ms, longer than the deadline",
                    "at most the deadline, " + kind.deadline().toMillis() + "ms");
        }
    }
}
