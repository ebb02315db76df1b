package org.dahliapass.lab.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.dahliapass.model.Endpoint;

/**
 * Measures whether targets that name a request limit get more requests than it tolerates, from all
 * VMs together. Counts the requests of VMs that know the limit. Not thread-safe.
 */
final class RequestLimitTracker {
    /** The length of the windows in which a limit holds, in seconds. */
    private static final double WINDOW_SECONDS = 4;

    /** By how much a limit may be exceeded in a window, as a factor. */
    private static final double TOLERATED_FACTOR = 1.5;

    /** By how many requests a limit may be exceeded in a window, in addition. */
    private static final double TOLERATED_REQUESTS = 5;

    /** The time from the first response with a limit until the limit binds. */
    private static final long GRACE_MILLIS = 3_000;

    /** The time from a VM's first response with a limit until its requests count. */
    private static final long VM_GRACE_MILLIS = 500;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final Map<Endpoint, LimitedTarget> mTargets = new HashMap<>();

    private static final class LimitedTarget {
        private final Map<Integer, Long> mInformedMillis = new HashMap<>();
        private final List<Long> mCountedMillis = new ArrayList<>();
        private long mNamedMillis = Long.MAX_VALUE / 2;
        private double mMaxLimit;
        private int mDelivered;
    }

    /** Records that a target named its limit in a response to a VM. */
    void onNamed(int vm, Endpoint target, double limit, long elapsedMillis) {
        LimitedTarget limited = mTargets.computeIfAbsent(target, unused -> new LimitedTarget());
        limited.mNamedMillis = Math.min(limited.mNamedMillis, elapsedMillis);
        limited.mMaxLimit = Math.max(limited.mMaxLimit, limit);
        limited.mInformedMillis.putIfAbsent(vm, elapsedMillis);
    }

    /** Records a request of a VM that reached a target while the target is limited. */
    void onDelivered(int vm, Endpoint target, long elapsedMillis) {
        LimitedTarget limited = mTargets.get(target);
        if (limited == null) {
            return;
        }
        limited.mDelivered++;
        long informedMillis = limited.mInformedMillis.getOrDefault(vm, Long.MAX_VALUE / 2);
        boolean isCounted =
                elapsedMillis >= limited.mNamedMillis + GRACE_MILLIS
                        && elapsedMillis >= informedMillis + VM_GRACE_MILLIS;
        if (isCounted) {
            limited.mCountedMillis.add(elapsedMillis);
        }
    }

    /** Returns the most requests in any window, as a share of what the limit tolerates. */
    double worstUse() {
        return mTargets.values().stream()
                .mapToDouble(RequestLimitTracker::worstUse)
                .max()
                .orElse(0);
    }

    private static double worstUse(LimitedTarget limited) {
        double tolerated =
                TOLERATED_FACTOR * limited.mMaxLimit * WINDOW_SECONDS + TOLERATED_REQUESTS;
        double worst = 0;
        int first = 0;
        for (int last = 0; last < limited.mCountedMillis.size(); last++) {
            long from =
                    limited.mCountedMillis.get(last) - (long) (WINDOW_SECONDS * MILLIS_PER_SECOND);
            while (limited.mCountedMillis.get(first) <= from) {
                first++;
            }
            worst = Math.max(worst, (last - first + 1) / tolerated);
        }
        return worst;
    }

    /**
     * Returns the requests that the limited targets got, as a share of their limits.
     *
     * @param seconds how long the targets were limited
     */
    double meanUse(double seconds) {
        return mTargets.values().stream()
                .filter(limited -> limited.mMaxLimit > 0)
                .mapToDouble(limited -> limited.mDelivered / (limited.mMaxLimit * seconds))
                .average()
                .orElse(0);
    }
}
