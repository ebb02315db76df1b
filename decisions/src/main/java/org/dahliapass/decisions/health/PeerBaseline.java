package org.dahliapass.decisions.health;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dahliapass.model.Endpoint;

/**
 * What is normal for one kind of work at one place and window: the peers' work without the worst.
 *
 * <p>The worst quarter is left out, so that a few sick targets don't make sickness look normal.
 * When all fail alike the rest still fails like them, so nobody stands out.
 */
final class PeerBaseline {
    private static final int LEFT_OUT_DIVISOR = 4;

    private final Counts mSum = new Counts();
    private final Set<Endpoint> mSummed = new HashSet<>();

    private PeerBaseline() {}

    /** Returns the normal failure rate's base: the quarter that fails most is left out. */
    static PeerBaseline ofFailures(Map<Endpoint, Counts> peers) {
        return without(peers, Comparator.comparingDouble(Counts::failureShare));
    }

    /** Returns the normal latency's base: the quarter that is slowest is left out. */
    static PeerBaseline ofLatency(Map<Endpoint, Counts> peers) {
        return without(peers, Comparator.comparingDouble(Counts::meanLog));
    }

    private static PeerBaseline without(Map<Endpoint, Counts> peers, Comparator<Counts> order) {
        List<Map.Entry<Endpoint, Counts>> sorted = new ArrayList<>(peers.entrySet());
        sorted.removeIf(entry -> entry.getValue().total() == 0);
        sorted.sort(Map.Entry.<Endpoint, Counts>comparingByValue(order));
        int kept = sorted.size() - sorted.size() / LEFT_OUT_DIVISOR;
        PeerBaseline baseline = new PeerBaseline();
        for (Map.Entry<Endpoint, Counts> entry : sorted.subList(0, kept)) {
            baseline.mSum.add(entry.getValue());
            baseline.mSummed.add(entry.getKey());
        }
        return baseline;
    }

    /** Returns the peers' work without the target's own. */
    Counts against(Endpoint target, Counts own) {
        Counts peers = new Counts();
        peers.add(mSum);
        if (mSummed.contains(target)) {
            peers.subtract(own);
        }
        return peers;
    }
}
