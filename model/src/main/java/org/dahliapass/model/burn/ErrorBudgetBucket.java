package org.dahliapass.model.burn;

/**
 * The request outcomes of one kind in one time bucket on one VM.
 *
 * @param customer the customer that sent the requests
 * @param service the service's name in that customer's template
 * @param kind the request kind's name
 * @param objective the service-level objective of the latest template, 0 to 1
 * @param startMillis the start of the bucket by the VM's clock, in milliseconds
 * @param widthMillis the length of the bucket, in milliseconds; the latest bucket may be incomplete
 * @param good requests with the outcome {@link Outcome#GOOD}
 * @param failed requests with the outcome {@link Outcome#FAILED}
 * @param refused requests with the outcome {@link Outcome#REFUSED}
 * @param unknown requests with the outcome {@link Outcome#UNKNOWN}
 * @param late requests with the outcome {@link Outcome#LATE}
 * @param cut requests with the outcome {@link Outcome#CUT}
 * @param bad requests that consumed the error budget by the template in force at their time
 */
public record ErrorBudgetBucket(
        String customer,
        String service,
        String kind,
        double objective,
        long startMillis,
        long widthMillis,
        long good,
        long failed,
        long refused,
        long unknown,
        long late,
        long cut,
        long bad) {

    /** Returns the number of requests with an outcome. */
    public long count(Outcome outcome) {
        return outcome.countIn(this);
    }
}
