package org.dahliapass.lab.policy;

import java.util.random.RandomGenerator;

/** A VM that sends each request to the target that is least busy with its own work, by weight. */
final class FakeVm {
    final Selector mSelector;
    final int[] mInFlight;
    private int mTurn;

    FakeVm(Selector selector, int targets) {
        mSelector = selector;
        mInFlight = new int[targets];
    }

    /** Returns the target for a request, or -1 if none may get it. */
    int selectTarget(boolean guarded, RandomGenerator random) {
        if (mSelector.isRoundRobin()) {
            return next();
        }
        int best = leastBusy(guarded, random);
        return best < 0 && guarded ? leastBusy(false, random) : best;
    }

    private int next() {
        for (int tries = 0; tries < mInFlight.length; tries++) {
            mTurn = (mTurn + 1) % mInFlight.length;
            if (mSelector.weight(mTurn) > 0) {
                return mTurn;
            }
        }
        return -1;
    }

    private int leastBusy(boolean guarded, RandomGenerator random) {
        int best = -1;
        double bestBusy = Double.MAX_VALUE;
        int start = random.nextInt(mInFlight.length);
        for (int step = 0; step < mInFlight.length; step++) {
            int target = (start + step) % mInFlight.length;
            double weight = mSelector.weight(target);
            if (weight > 0 && (!guarded || mSelector.acceptsAtMostOnce(target))) {
                double busy = (mInFlight[target] + 1) / weight;
                if (busy < bestBusy) {
                    bestBusy = busy;
                    best = target;
                }
            }
        }
        return best;
    }
}
