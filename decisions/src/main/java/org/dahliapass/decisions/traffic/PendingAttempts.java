package org.dahliapass.decisions.traffic;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The pieces of work that one target has not answered yet, and what their age says of it.
 *
 * <p>Not safe for use by several threads. Each call costs O(pieces of work in flight at the
 * target), which its slots bound.
 */
final class PendingAttempts {
    /**
     * How fast silence speaks against a target: one in eleven sound answers takes longer than is
     * unusual. From times to answer with a logarithmic standard deviation of 0.8, of which the
     * logistic curve is a fair approximation: the share of sound answers that take longer than a
     * mean times x is 1 / (1 + 2 x^2).
     */
    private static final double SILENCE_AT_UNUSUAL = 10;

    private final Map<Object, Work> mWork = new LinkedHashMap<>();

    /** A piece of work that has no answer yet. */
    private record Work(long startedMillis, long overdueMillis) {
        private boolean isLost(long nowMillis) {
            return nowMillis - overdueMillis >= overdueMillis - startedMillis;
        }

        /** Returns the share of sound answers that take as long as this one has by now. */
        private double soundShare(long nowMillis) {
            double ofUnusual =
                    (double) (nowMillis - startedMillis)
                            / Math.max(1, overdueMillis - startedMillis);
            return 1 / (1 + SILENCE_AT_UNUSUAL * ofUnusual * ofUnusual);
        }
    }

    /**
     * Takes the start of a piece of work.
     *
     * @param work identifies the piece of work
     * @param overdueMillis from when on the missing answer is unusual, in milliseconds
     */
    void start(Object work, long overdueMillis, long nowMillis) {
        mWork.put(work, new Work(nowMillis, overdueMillis));
    }

    /**
     * Takes the end of a piece of work, however it ended.
     *
     * @return false if it was given up for lost before
     */
    boolean end(Object work) {
        return mWork.remove(work) != null;
    }

    /** Forgets the work that is overdue by as long again; returns when each piece was sent. */
    List<Long> removeLost(long nowMillis) {
        List<Long> lost = new ArrayList<>();
        mWork.values()
                .removeIf(
                        work -> {
                            if (work.isLost(nowMillis)) {
                                lost.add(work.startedMillis());
                                return true;
                            }
                            return false;
                        });
        return lost;
    }

    /**
     * Returns how many times as likely this silence is in a bout as at a sound target; 1 while
     * nothing is unanswered.
     */
    double silenceRatio(FailureModel rates, long nowMillis) {
        double lost = rates.failureRateWhenFailing() * rates.silentShareWhenFailing();
        double answered = 1 - rates.failureRateWhenFailing();
        double ratio = 1;
        for (Work work : mWork.values()) {
            double sound = work.soundShare(nowMillis);
            ratio *= (answered * sound + lost) / sound;
        }
        return ratio;
    }
}
