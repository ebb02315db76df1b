package org.dahliapass.decisions.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeMap;

/**
 * Decides which level of priority is dispatched next, so that the highest comes first and none is
 * starved.
 *
 * <p>A level that waits is due after nine dispatches of others. With n levels, the first request of
 * a level is dispatched within 10 x (n - 1) dispatches, since at most n - 1 levels are due at once.
 *
 * <p>Not thread-safe; guarded by the service's lock.
 */
public final class PriorityTurns {
    /** A level that waits gets one dispatch in as many. */
    public static final int DISPATCHES_PER_TURN = 10;

    private final Map<Integer, Integer> mPassedByLevel = new TreeMap<>();

    /**
     * Returns the waiting levels in the order in which they may be dispatched: those that are due,
     * the longest passed over first, then the others by priority.
     *
     * @param waiting the levels with requests that wait, the highest priority first
     */
    public List<Integer> order(SortedSet<Integer> waiting) {
        List<Integer> order = new ArrayList<>(waiting);
        if (order.size() > 1) {
            order.sort(Comparator.comparingInt(level -> isDue(level) ? -passed(level) : 0));
        }
        return order;
    }

    /** Returns whether a level has been passed over so often that it is next. */
    public boolean isDue(int level) {
        return passed(level) >= DISPATCHES_PER_TURN - 1;
    }

    /**
     * Records a dispatch.
     *
     * @param level the level of the dispatched request
     * @param waiting the levels with requests that wait now
     */
    public void onDispatched(int level, SortedSet<Integer> waiting) {
        mPassedByLevel.keySet().retainAll(waiting);
        for (int other : waiting) {
            if (other != level) {
                mPassedByLevel.merge(other, 1, Integer::sum);
            }
        }
        mPassedByLevel.remove(level);
    }

    /**
     * Records that a slot was left to other VMs, which counts as a dispatch of another level.
     *
     * @param levels the levels that were passed over
     */
    public void onYielded(Set<Integer> levels) {
        levels.forEach(level -> mPassedByLevel.merge(level, 1, Integer::sum));
    }

    /**
     * Estimates how many dispatches of lower levels come before some dispatches of one level and
     * those above.
     *
     * @param dispatches the dispatches of the level and those above
     * @param waiting the number of requests that wait on a lower level
     */
    public static double lowerDispatches(double dispatches, int waiting) {
        return Math.min(waiting, Math.floor(dispatches / (DISPATCHES_PER_TURN - 1)));
    }

    private int passed(int level) {
        return mPassedByLevel.getOrDefault(level, 0);
    }
}
