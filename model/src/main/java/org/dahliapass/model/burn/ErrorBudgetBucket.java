package org.dahliapass.model.burn;

/**
 * How the requests of one kind ended in one span of time on one VM.
 *
 * @param customer the customer that asked
 * @param service the service's name in that customer's template
 * @param kind the request kind's name
 * @param objective the share of requests that shall be good, from the newest template
 * @param startMillis the span's start by the VM's clock
 * @param widthMillis the span's length; the newest span may still be running
 * @param good requests that ended {@link Outcome#GOOD}
 * @param failed requests that ended {@link Outcome#FAILED}
 * @param refused requests that ended {@link Outcome#REFUSED}
 * @param unknown requests that ended {@link Outcome#UNKNOWN}
 * @param late requests that ended {@link Outcome#LATE}
 * @param cut requests that ended {@link Outcome#CUT}
 * @param bad requests that counted against the objective by the template of their time
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

    /** Returns how many requests ended so. */
    public long count(Outcome outcome) {
        return outcome.countIn(this);
    }
}
