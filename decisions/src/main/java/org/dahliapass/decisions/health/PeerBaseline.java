package org.dahliapass.decisions.health;

import java.util.Arrays;
import java.util.Comparator;

/**
 * What is normal for one kind of work at one place and window: the peers' work without the worst.
 *
 * <p>The worst quarter is left out, so that a few sick targets don't make sickness look normal.
 * When all fail alike the rest still fails like them, so nobody stands out.
 */
final class PeerBaseline {
    private static final int LEFT_OUT_DIVISOR = 4;

    private final Counts mSum = new Counts();
    private final Counts[] mSummed;

    private PeerBaseline(Counts[] summed) {
        mSummed = summed;
        for (Counts counts : summed) {
            mSum.add(counts);
        }
    }

    /** Returns the normal failure rate's base: the quarter that fails most is left out. */
    static PeerBaseline forFailures(Counts[] peers) {
        return without(peers, Comparator.comparingDouble(Counts::failureShare));
    }

    /** Returns the normal latency's base: the quarter that is slowest is left out. */
    static PeerBaseline forLatency(Counts[] peers) {
        return without(peers, Comparator.comparingDouble(Counts::meanLogLatency));
    }

    private static PeerBaseline without(Counts[] peers, Comparator<Counts> order) {
        Counts[] sorted = peers.clone();
        Arrays.sort(sorted, order);
        int kept = sorted.length - sorted.length / LEFT_OUT_DIVISOR;
        return new PeerBaseline(Arrays.copyOf(sorted, kept));
    }

    /** Returns the peers' work without the target's own. */
    Counts excluding(Counts own) {
        Counts peers = new Counts();
        peers.add(mSum);
        for (Counts counts : mSummed) {
            if (counts == own) {
                peers.subtract(own);
            }
        }
        return peers;
    }
}
