package org.dahliapass.lab.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.dahliapass.model.Endpoint;

/**
 * Measures whether targets get requests although they have said that they are leaving or want a
 * rest. Not thread-safe.
 */
final class AvailabilityTracker {
    /** The time from a response that asks for a rest until the VM's requests count. */
    private static final long REST_GRACE_MILLIS = 500;

    /** The time from a response of a leaving target until a caller's new requests count. */
    private static final long LEAVING_GRACE_MILLIS = 2_000;

    /** The length of the windows in which requests to resting targets are counted together. */
    private static final long BURST_MILLIS = 100;

    private final Map<Path, List<Rest>> mRests = new HashMap<>();
    private final Map<Path, Long> mLeavingSinceMillis = new HashMap<>();
    private final Map<Endpoint, Deque<Long>> mRecentDeliveries = new HashMap<>();
    private int mMostDuringRest;
    private int mLateToLeaving;
    private int mLargestBurst;

    private record Path(int vm, Endpoint target) {}

    /** A rest that a target asked one VM for. */
    private static final class Rest {
        private final long mFromMillis;
        private final long mEndMillis;
        private int mDelivered;

        private Rest(long fromMillis, long endMillis) {
            mFromMillis = fromMillis;
            mEndMillis = endMillis;
        }
    }

    /** Records that a target asked a VM for a rest. */
    void onRestStated(int vm, Endpoint target, long restMillis, long elapsedMillis) {
        mRests.computeIfAbsent(new Path(vm, target), unused -> new ArrayList<>())
                .add(new Rest(elapsedMillis + REST_GRACE_MILLIS, elapsedMillis + restMillis));
    }

    /** Records that a target told a VM that it is leaving. */
    void onLeavingStated(int vm, Endpoint target, long elapsedMillis) {
        mLeavingSinceMillis.putIfAbsent(new Path(vm, target), elapsedMillis);
    }

    /**
     * Records a VM's request that reached a target.
     *
     * @param arrivalMillis when the VM received the request, since the start of the run
     */
    void onDelivered(int vm, Endpoint target, long arrivalMillis, long elapsedMillis) {
        Path path = new Path(vm, target);
        Long leavingSince = mLeavingSinceMillis.get(path);
        if (leavingSince != null && arrivalMillis > leavingSince + LEAVING_GRACE_MILLIS) {
            mLateToLeaving++;
        }
        List<Rest> rests = mRests.get(path);
        if (rests == null) {
            return;
        }
        rests.removeIf(rest -> rest.mEndMillis <= elapsedMillis);
        for (Rest rest : rests) {
            if (rest.mFromMillis <= elapsedMillis) {
                rest.mDelivered++;
                mMostDuringRest = Math.max(mMostDuringRest, rest.mDelivered);
            }
        }
    }

    /** Records a request that reached a target which turns all requests away. */
    void onTurnedAway(Endpoint target, long elapsedMillis) {
        Deque<Long> recent =
                mRecentDeliveries.computeIfAbsent(target, unused -> new ArrayDeque<>());
        recent.add(elapsedMillis);
        while (recent.getFirst() <= elapsedMillis - BURST_MILLIS) {
            recent.removeFirst();
        }
        mLargestBurst = Math.max(mLargestBurst, recent.size());
    }

    /** Returns the most requests of one VM that reached a target while it wanted a rest. */
    int mostDuringRest() {
        return mMostDuringRest;
    }

    /** Returns the requests that reached leaving targets from VMs that knew it when they came. */
    int lateToLeaving() {
        return mLateToLeaving;
    }

    /** Returns the most requests that a target turned away in a tenth of a second. */
    int largestBurst() {
        return mLargestBurst;
    }
}
