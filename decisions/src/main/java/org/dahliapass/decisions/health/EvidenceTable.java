package org.dahliapass.decisions.health;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.dahliapass.model.Endpoint;

/**
 * The work that the VMs of a cell saw, by target, by the place that saw it, and by request kind.
 *
 * <p>A place is a whole availability zone, or this VM alone. VMs of one zone are summed, so the
 * state grows with zones and not with the cell.
 */
final class EvidenceTable {
    /** The place that stands for what this VM saw itself. */
    static final String LOCAL_VM = "";

    /** The kind under which failed probes are kept. */
    static final String PROBE_KIND = "#probe";

    private final Map<Endpoint, Map<String, Map<String, WindowedCounts>>> mHistories =
            new HashMap<>();

    void add(String place, TargetEvidence evidence, long nowMillis) {
        mHistories
                .computeIfAbsent(evidence.target(), key -> new TreeMap<>())
                .computeIfAbsent(place, key -> new TreeMap<>())
                .computeIfAbsent(evidence.kind(), key -> new WindowedCounts())
                .add(
                        evidence.successes(),
                        evidence.failures(),
                        evidence.logLatencySum(),
                        evidence.logLatencySquareSum(),
                        nowMillis);
    }

    /** Forgets all that was seen of a target. */
    void remove(Endpoint target) {
        mHistories.remove(target);
    }

    /** Forgets what this VM alone saw of a target; the zone's sums stay. */
    void removeLocal(Endpoint target) {
        mHistories.getOrDefault(target, new TreeMap<>()).remove(LOCAL_VM);
    }

    /** Forgets all targets but the listed ones. */
    void retain(Set<Endpoint> listed) {
        mHistories.keySet().retainAll(listed);
    }

    /** Returns the kinds that were seen at a place. */
    private Set<String> kinds(String place) {
        Set<String> kinds = new TreeSet<>();
        for (Map<String, Map<String, WindowedCounts>> places : mHistories.values()) {
            kinds.addAll(places.getOrDefault(place, Map.of()).keySet());
        }
        return kinds;
    }

    /** Returns the windows at a place by kind. */
    Map<String, Counts[][]> windows(String place, List<Endpoint> targets, long nowMillis) {
        Map<String, Counts[][]> windows = new TreeMap<>();
        for (String kind : kinds(place)) {
            windows.put(kind, windows(place, kind, targets, nowMillis));
        }
        return windows;
    }

    /** Returns the windows of a kind for each target, null where nothing was seen. */
    private Counts[][] windows(String place, String kind, List<Endpoint> targets, long nowMillis) {
        Counts[][] windows = new Counts[targets.size()][];
        for (int index = 0; index < windows.length; index++) {
            WindowedCounts history =
                    mHistories
                            .getOrDefault(targets.get(index), Map.of())
                            .getOrDefault(place, Map.of())
                            .get(kind);
            windows[index] = history == null ? null : history.windows(nowMillis);
        }
        return windows;
    }
}
