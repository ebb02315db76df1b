package org.dahliapass.model;

import java.time.Duration;
import java.util.EnumSet;
import java.util.Set;
import org.dahliapass.model.burn.Outcome;

/**
 * What a customer's template says of one kind of request to one service.
 *
 * @param name the kind's name, unique within the service
 * @param method the HTTP method
 * @param pathPrefix the path, or the path's beginning if it ended in {@code **} in the file
 * @param prefix whether {@code pathPrefix} matches by beginning
 * @param idempotency whether it may run more than once
 * @param deadline after this time from arrival the answer is of no use
 * @param patience how long a request may wait for a slot before it is refused
 * @param lateAfter an answer that begins later than this counts as late in the burn report
 * @param maximumBodyBytes a larger request body is refused
 * @param ratePerSecond requests a second this customer may send per VM of the cell; 0 for no limit
 * @param retryShare retries allowed, as a share of first tries; 0 for none
 * @param hedgeAfter a second try is started after this time; zero for never
 * @param bulky whether answers are large: they use a separate share of the slots
 * @param objective the share of requests that shall be good, for the burn report
 * @param badOutcomes the outcomes that count against the objective
 */
public record RequestKind(
        String name,
        String method,
        String pathPrefix,
        boolean prefix,
        Idempotency idempotency,
        Duration deadline,
        Duration patience,
        Duration lateAfter,
        long maximumBodyBytes,
        double ratePerSecond,
        double retryShare,
        Duration hedgeAfter,
        boolean bulky,
        double objective,
        Set<Outcome> badOutcomes) {
    private static final Set<Outcome> ALL_BAD = EnumSet.complementOf(EnumSet.of(Outcome.GOOD));

    /** Copies the set. */
    public RequestKind {
        badOutcomes = Set.copyOf(badOutcomes);
    }

    /** Creates a kind for which every outcome but {@link Outcome#GOOD} is bad. */
    public RequestKind(
            String name,
            String method,
            String pathPrefix,
            boolean prefix,
            Idempotency idempotency,
            Duration deadline,
            Duration patience,
            Duration lateAfter,
            long maximumBodyBytes,
            double ratePerSecond,
            double retryShare,
            Duration hedgeAfter,
            boolean bulky,
            double objective) {
        this(
                name,
                method,
                pathPrefix,
                prefix,
                idempotency,
                deadline,
                patience,
                lateAfter,
                maximumBodyBytes,
                ratePerSecond,
                retryShare,
                hedgeAfter,
                bulky,
                objective,
                ALL_BAD);
    }

    /** Returns whether an outcome counts against the objective. */
    public boolean isBad(Outcome outcome) {
        return badOutcomes.contains(outcome);
    }

    /** Returns the same kind as one that runs at most once, without retries and hedges. */
    public RequestKind asAtMostOnce() {
        return new RequestKind(
                name,
                method,
                pathPrefix,
                prefix,
                Idempotency.AT_MOST_ONCE,
                deadline,
                patience,
                lateAfter,
                maximumBodyBytes,
                ratePerSecond,
                0,
                Duration.ZERO,
                bulky,
                objective,
                badOutcomes);
    }

    /** Returns whether a request of this method and path is of this kind. */
    public boolean matches(String requestMethod, String requestPath) {
        if (!method.equals(requestMethod)) {
            return false;
        }
        return prefix ? requestPath.startsWith(pathPrefix) : requestPath.equals(pathPrefix);
    }
}
