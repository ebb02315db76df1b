package org.dahliapass.decisions.health;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.dahliapass.model.Endpoint;

/**
 * The request outcomes that a cell observed, by target, vantage point and request kind.
 *
 * <p>A vantage point is an availability zone or the local VM. The outcomes of all VMs of a zone are
 * summed, so the state grows with the zones and not with the size of the cell.
 */
final class EvidenceTable {
    /** The vantage point of the local VM. */
    static final String LOCAL_VM = "";

    /** The request kind of probes. */
    static final String PROBE_KIND = "#probe";

    private final Map<Endpoint, Map<String, Map<String, WindowedCounts>>> mCounts = new HashMap<>();

    void add(String vantagePoint, TargetEvidence evidence, long nowMillis) {
        mCounts.computeIfAbsent(evidence.target(), key -> new TreeMap<>())
                .computeIfAbsent(vantagePoint, key -> new TreeMap<>())
                .computeIfAbsent(evidence.kind(), key -> new WindowedCounts())
                .add(
                        evidence.successes(),
                        evidence.failures(),
                        evidence.logLatencySum(),
                        evidence.logLatencySquareSum(),
                        nowMillis);
    }

    /** Removes all outcomes of a target. */
    void remove(Endpoint target) {
        mCounts.remove(target);
    }

    /** Removes the local VM's outcomes of a target; the sums of the zones remain. */
    void removeLocal(Endpoint target) {
        mCounts.getOrDefault(target, new TreeMap<>()).remove(LOCAL_VM);
    }

    /** Removes the outcomes of all targets that are not listed. */
    void retain(Set<Endpoint> listed) {
        mCounts.keySet().retainAll(listed);
    }

    private Set<String> kinds(String vantagePoint) {
        Set<String> kinds = new TreeSet<>();
        for (Map<String, Map<String, WindowedCounts>> vantagePoints : mCounts.values()) {
            kinds.addAll(vantagePoints.getOrDefault(vantagePoint, Map.of()).keySet());
        }
        return kinds;
    }

    /** Returns the windows of each target at a vantage point, by request kind. */
    Map<String, Counts[][]> windows(String vantagePoint, List<Endpoint> targets, long nowMillis) {
        Map<String, Counts[][]> windows = new TreeMap<>();
        for (String kind : kinds(vantagePoint)) {
            windows.put(kind, windows(vantagePoint, kind, targets, nowMillis));
        }
        return windows;
    }

    /** Returns the windows of each target; null for a target without outcomes. */
    private Counts[][] windows(
            String vantagePoint, String kind, List<Endpoint> targets, long nowMillis) {
        Counts[][] windows = new Counts[targets.size()][];
        for (int index = 0; index < windows.length; index++) {
            WindowedCounts counts =
                    mCounts.getOrDefault(targets.get(index), Map.of())
                            .getOrDefault(vantagePoint, Map.of())
                            .get(kind);
            windows[index] = counts == null ? null : counts.windows(nowMillis);
        }
        return windows;
    }
}
