package org.dahliapass.lab.fleet;

import java.time.Duration;
import org.dahliapass.kernel.IniSection;
import org.dahliapass.model.Idempotency;
import org.dahliapass.model.RequestKind;

/**
 * One kind of request of a scenario.
 *
 * @param kind the kind as the decisions see it
 * @param requestsPerSecond requests a second of the whole fleet
 * @param meanServiceMillis the mean time of work, in milliseconds
 * @param serviceTimeSigma the logarithmic standard deviation of the time of work
 * @param payoff what an answer within the objective is worth
 * @param latePayoff what a later one is worth
 * @param distinctRequests how many different requests there are of this kind; 0 if no two are alike
 * @param crashesTarget whether the target ends that runs such a request
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
    private static final Duration LONGEST = Duration.ofMinutes(1);
    private static final double PATIENCE_SHARE = 0.6;
    private static final double HEDGE_AFTER_SHARE = 0.6;
    private static final long BODY_BYTES = 1 << 20;

    /** Reads one kind; the section's name is {@code kind NAME}. */
    static RequestLoad read(IniSection section, double retryShare) {
        boolean mayRepeat = section.yesNo("may-repeat");
        Duration objective = section.duration("objective", Duration.ofMillis(1), LONGEST);
        Duration timeout = section.duration("timeout", Duration.ofMillis(1), LONGEST);
        RequestKind kind =
                new RequestKind(
                        section.name(),
                        "*",
                        "/",
                        true,
                        mayRepeat ? Idempotency.IDEMPOTENT : Idempotency.AT_MOST_ONCE,
                        timeout,
                        scaled(timeout, PATIENCE_SHARE),
                        objective,
                        BODY_BYTES,
                        0,
                        retryShare,
                        mayRepeat ? scaled(objective, HEDGE_AFTER_SHARE) : Duration.ZERO,
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
