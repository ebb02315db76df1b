package org.dahliapass.decisions.traffic;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The pieces of work that one target has not answered yet, and what their age says of it.
 *
 * <p>Not safe for use by several threads. Each call costs O(pieces of work in flight at the
 * target), which its slots bound.
 */
final class UnansweredWork {
    /**
     * How fast silence speaks against a target: work that takes as long as is unusual is about
     * eleven times as likely at a target that hangs as at a sound one. From times to answer with a
     * logarithmic standard deviation of 0.8, of which the logistic curve is a fair approximation:
     * the share of sound answers that take longer than a mean times x is 1 / (1 + 2 x^2).
     */
    private static final double SILENCE_AT_UNUSUAL = 10;

    private final Map<Object, Work> mWork = new LinkedHashMap<>();

    /** A piece of work that has no answer yet. */
    private record Work(long startedMillis, long overdueMillis) {
        private boolean isLost(long nowMillis) {
            return nowMillis - overdueMillis >= overdueMillis - startedMillis;
        }

        private double silence(long nowMillis) {
            double ofUnusual =
                    (double) (nowMillis - startedMillis)
                            / Math.max(1, overdueMillis - startedMillis);
            return 1 + SILENCE_AT_UNUSUAL * ofUnusual * ofUnusual;
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

    /** Takes the end of a piece of work, however it ended. */
    void end(Object work) {
        mWork.remove(work);
    }

    /** Returns whether all work was answered. */
    boolean isEmpty() {
        return mWork.isEmpty();
    }

    /** Returns whether any answer is unusually late. */
    boolean hasOverdue(long nowMillis) {
        return mWork.values().stream().anyMatch(work -> work.overdueMillis() <= nowMillis);
    }

    /** Forgets the work that is overdue by as long again; returns whether there was any. */
    boolean removeLost(long nowMillis) {
        return mWork.values().removeIf(work -> work.isLost(nowMillis));
    }

    /**
     * Returns how many times as likely this silence is at a target that hangs as at a sound one; 1
     * while nothing is unanswered.
     */
    double silence(long nowMillis) {
        double silence = 1;
        for (Work work : mWork.values()) {
            silence *= work.silence(nowMillis);
        }
        return silence;
    }
}
