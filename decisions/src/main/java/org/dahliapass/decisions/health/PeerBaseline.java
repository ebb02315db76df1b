package org.dahliapass.decisions.health;

import java.util.Arrays;
import java.util.Comparator;

/**
 * A trimmed baseline of the peers for one request kind, vantage point and window.
 *
 * <p>The worst quarter of the peers is excluded, so that a few faulty targets do not raise the
 * baseline. If all targets fail alike, the baseline rises with them and no target is an outlier.
 */
final class PeerBaseline {
    private static final int TRIMMED_DIVISOR = 4;

    private final Counts mSum = new Counts();
    private final Counts[] mIncluded;

    private PeerBaseline(Counts[] included) {
        mIncluded = included;
        for (Counts counts : included) {
            mSum.add(counts);
        }
    }

    /** Returns the baseline of the failure rate, without the quarter that fails most. */
    static PeerBaseline forFailures(Counts[] peers) {
        return trimmed(peers, Comparator.comparingDouble(Counts::failureShare));
    }

    /** Returns the baseline of the latency, without the slowest quarter. */
    static PeerBaseline forLatency(Counts[] peers) {
        return trimmed(peers, Comparator.comparingDouble(Counts::meanLogLatency));
    }

    private static PeerBaseline trimmed(Counts[] peers, Comparator<Counts> order) {
        Counts[] sorted = peers.clone();
        Arrays.sort(sorted, order);
        int kept = sorted.length - sorted.length / TRIMMED_DIVISOR;
        return new PeerBaseline(Arrays.copyOf(sorted, kept));
    }

    /** Returns the baseline without the counts of one target. */
    Counts excluding(Counts target) {
        Counts peers = new Counts();
        peers.add(mSum);
        for (Counts counts : mIncluded) {
            if (counts == target) {
                peers.subtract(target);
            }
        }
        return peers;
    }
}
