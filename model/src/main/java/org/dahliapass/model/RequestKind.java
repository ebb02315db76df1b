package org.dahliapass.model;

import java.time.Duration;
import java.util.EnumSet;
import java.util.Set;
import org.dahliapass.model.burn.Outcome;

/**
 * The settings of one kind of request to a service in a customer's template.
 *
 * @param name the kind's name, unique within the service
 * @param method the HTTP method
 * @param pathPrefix the path, or the path prefix if the path ended in {@code **} in the template
 * @param prefix whether {@code pathPrefix} is a prefix
 * @param idempotency the execution guarantee of the request
 * @param deadline the time from arrival after which a response is no longer useful
 * @param patience the maximum time in the queue before the request is rejected
 * @param lateAfter the time after which a response counts as late in the error budget report
 * @param maximumBodyBytes the maximum size of the request body, in bytes
 * @param ratePerSecond this customer's rate limit per VM of the cell, in requests per second; 0 for
 *     no limit
 * @param retryShare the retry budget as a share of first attempts; 0 for no retries
 * @param hedgeAfter the delay before a hedged attempt; zero for no hedging
 * @param bulky whether responses are large and use a separate share of the slots
 * @param objective the service-level objective as a share of good requests, 0 to 1
 * @param badOutcomes the outcomes that consume the error budget
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

    /** Creates a kind with an immutable copy of the set. */
    public RequestKind {
        badOutcomes = Set.copyOf(badOutcomes);
    }

    /** Creates a kind for which all outcomes except {@link Outcome#GOOD} are bad. */
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

    /** Returns whether an outcome consumes the error budget. */
    public boolean isBad(Outcome outcome) {
        return badOutcomes.contains(outcome);
    }

    /** Returns a copy of this kind that runs at most once, without retries and hedging. */
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

    /** Returns whether a request with a method and path is of this kind. */
    public boolean matches(String requestMethod, String requestPath) {
        if (!method.equals(requestMethod)) {
            return false;
        }
        return prefix ? requestPath.startsWith(pathPrefix) : requestPath.equals(pathPrefix);
    }
}
