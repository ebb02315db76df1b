package org.dahliapass.lab.fleet;

import java.time.Duration;
import org.dahliapass.kernel.IniSection;
import org.dahliapass.model.Idempotency;
import org.dahliapass.model.RequestKind;

/**
 * The load of one request kind in a scenario.
 *
 * @param kind the settings of the kind
 * @param requestsPerSecond the arrival rate over the whole fleet
 * @param meanServiceMillis the mean service time, in milliseconds
 * @param serviceTimeSigma the standard deviation of the logarithm of the service time
 * @param payoff the payoff of a response within the latency objective
 * @param latePayoff the payoff of a later response
 * @param distinctRequests the number of distinct requests of this kind; 0 if every request is
 *     distinct
 * @param crashesTarget whether a request of this kind crashes its target
 */
record RequestLoad(
        RequestKind kind,
        double requestsPerSecond,
        double meanServiceMillis,
        double serviceTimeSigma,
        double payoff,
        double latePayoff,
        int distinctRequests,
        boolean crashesTarget) {
    private static final Duration MAX_DURATION = Duration.ofMinutes(1);
    private static final double PATIENCE_SHARE = 0.6;
    private static final double HEDGE_AFTER_SHARE = 0.6;
    private static final long BODY_BYTES = 1 << 20;

    /** Reads a kind from a section named {@code kind NAME}. */
    static RequestLoad read(IniSection section, double retryShare) {
        boolean isIdempotent = section.yesNo("may-repeat");
        Duration objective = section.duration("objective", Duration.ofMillis(1), MAX_DURATION);
        Duration timeout = section.duration("timeout", Duration.ofMillis(1), MAX_DURATION);
        RequestKind kind =
                new RequestKind(
                        section.name(),
                        "*",
                        "/",
                        true,
                        isIdempotent ? Idempotency.IDEMPOTENT : Idempotency.AT_MOST_ONCE,
                        timeout,
                        scaled(timeout, PATIENCE_SHARE),
                        objective,
                        BODY_BYTES,
                        0,
                        retryShare,
                        isIdempotent ? scaled(objective, HEDGE_AFTER_SHARE) : Duration.ZERO,
                        false,
                        0.99);
        return new RequestLoad(
                kind,
                section.decimal("per-second", 0.01, 100_000),
                section.decimal("work-ms", 0.1, 100_000),
                section.decimal("spread", 0, 2, 0.5),
                section.decimal("payoff", 0, 100, 1),
                section.decimal("late-payoff", 0, 100, 0.5),
                (int) section.number("alike", 0, 1_000_000, 0),
                section.yesNo("ends-target", false));
    }

    private static Duration scaled(Duration duration, double share) {
        return Duration.ofMillis(Math.round(duration.toMillis() * share));
    }
}
