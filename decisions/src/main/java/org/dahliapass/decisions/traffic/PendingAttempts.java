package org.dahliapass.decisions.traffic;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.dahliapass.decisions.latency.ResponseTimeCurve;

/**
 * The attempts at one target that have no response yet, and the likelihood of their age.
 *
 * <p>Not thread-safe; guarded by the service's lock. A call is O(requests in flight to the target).
 */
final class PendingAttempts {
    private final Map<Object, Attempt> mAttempts = new LinkedHashMap<>();

    /**
     * An attempt that was removed without a response.
     *
     * @param startedMillis when it was sent, in milliseconds
     * @param survivalProbability the probability that a healthy target takes as long
     */
    record LostAttempt(long startedMillis, double survivalProbability) {}

    /** An attempt without a response. */
    private record Attempt(long startedMillis, ResponseTimeCurve responseTimes) {
        private boolean isLost(long nowMillis) {
            return responseTimes.isLost(nowMillis - startedMillis);
        }

        /**
         * Returns the probability that a healthy target takes longer than this attempt has taken.
         */
        private double survivalProbability(long nowMillis) {
            return responseTimes.survivalProbability(nowMillis - startedMillis);
        }
    }

    /**
     * Records the start of an attempt.
     *
     * @param attempt identifies the attempt
     * @param responseTimes the response times of healthy targets
     */
    void start(Object attempt, ResponseTimeCurve responseTimes, long nowMillis) {
        mAttempts.put(attempt, new Attempt(nowMillis, responseTimes));
    }

    /**
     * Records the end of an attempt, whatever its outcome.
     *
     * @return false if it was removed as lost before
     */
    boolean end(Object attempt) {
        return mAttempts.remove(attempt) != null;
    }

    /** Removes the attempts that are lost by their age. */
    List<LostAttempt> removeLost(long nowMillis) {
        List<LostAttempt> lost = new ArrayList<>();
        mAttempts
                .values()
                .removeIf(
                        attempt -> {
                            if (attempt.isLost(nowMillis)) {
                                lost.add(
                                        new LostAttempt(
                                                attempt.startedMillis(),
                                                attempt.survivalProbability(nowMillis)));
                                return true;
                            }
                            return false;
                        });
        return lost;
    }

    /**
     * Returns the likelihood ratio of the missing responses at a failing and at a healthy target; 1
     * if no attempt is pending.
     */
    double silenceRatio(FailureModel model, long nowMillis) {
        return silenceRatio(model, null, nowMillis);
    }

    /** Returns the ratio without the attempt {@code excluded}, if that isn't null. */
    double silenceRatio(FailureModel model, Object excluded, long nowMillis) {
        double ratio = 1;
        for (Map.Entry<Object, Attempt> entry : mAttempts.entrySet()) {
            if (entry.getKey().equals(excluded)) {
                continue;
            }
            double whenHealthy = entry.getValue().survivalProbability(nowMillis);
            ratio *= model.silenceWhenFailing(whenHealthy) / whenHealthy;
        }
        return ratio;
    }
}
