package org.dahliapass.lab.policy;

import java.util.random.RandomGenerator;

/** A VM that selects the target with the fewest of its own requests in flight, by weight. */
final class FakeVm {
    final Selector mSelector;
    final int[] mInFlight;
    private int mNextTarget;

    FakeVm(Selector selector, int targets) {
        mSelector = selector;
        mInFlight = new int[targets];
    }

    /** Returns the target for a request, or -1 if no target may receive it. */
    int selectTarget(boolean atMostOnce, RandomGenerator random) {
        if (mSelector.isRoundRobin()) {
            return nextInRotation();
        }
        int best = leastLoaded(atMostOnce, random);
        return best < 0 && atMostOnce ? leastLoaded(false, random) : best;
    }

    private int nextInRotation() {
        for (int step = 0; step < mInFlight.length; step++) {
            mNextTarget = (mNextTarget + 1) % mInFlight.length;
            if (mSelector.weight(mNextTarget) > 0) {
                return mNextTarget;
            }
        }
        return -1;
    }

    private int leastLoaded(boolean atMostOnce, RandomGenerator random) {
        int best = -1;
        double minLoad = Double.MAX_VALUE;
        int start = random.nextInt(mInFlight.length);
        for (int step = 0; step < mInFlight.length; step++) {
            int target = (start + step) % mInFlight.length;
            double weight = mSelector.weight(target);
            if (weight > 0 && (!atMostOnce || mSelector.acceptsAtMostOnce(target))) {
                double load = (mInFlight[target] + 1) / weight;
                if (load < minLoad) {
                    minLoad = load;
                    best = target;
                }
            }
        }
        return best;
    }
}
