package org.dahliapass.decisions.assignment;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.dahliapass.model.ServiceId;

/**
 * Tracks the services whose cells contain this VM, without planning whole cells.
 *
 * <p>For each service, counts the members of this VM's zone that rank above it. A membership change
 * costs one score per service. Agrees with {@link CellPlanner} on the same members.
 */
public final class CellMembership {
    private final String mName;
    private final String mZone;
    private final Map<String, Integer> mZoneSizes = new HashMap<>();
    private final Map<ServiceId, ZoneRank> mRanks = new HashMap<>();
    private final Map<String, String> mZoneOf = new HashMap<>();

    /** This VM's rank among the members of its zone for one service. */
    private static final class ZoneRank {
        private final Rendezvous mRendezvous;
        private final double mOwnScore;
        private int mHigherRanked;

        ZoneRank(ServiceId service, String name) {
            mRendezvous = Rendezvous.of(service.toString());
            mOwnScore = mRendezvous.score(name);
        }

        /** Returns whether another member of the zone ranks above this VM. */
        boolean ranksAbove(String other, String self) {
            int byScore = Double.compare(mRendezvous.score(other), mOwnScore);
            return byScore > 0 || (byScore == 0 && other.compareTo(self) < 0);
        }
    }

    /** A zone with its score for a service. */
    private record Zone(String name, double score) {
        static final Comparator<Zone> BEST_FIRST =
                Comparator.comparingDouble((Zone zone) -> -zone.score()).thenComparing(Zone::name);
    }

    /** Creates an instance without members; this VM is in no cell until it is a member itself. */
    public CellMembership(String name, String availabilityZone) {
        mName = name;
        mZone = availabilityZone;
    }

    /** Replaces the members that may be in cells, by name and zone; includes this VM. */
    public void updateMembers(Map<String, String> zoneOfName) {
        List<String> removed = new ArrayList<>(mZoneOf.keySet());
        removed.removeIf(name -> mZoneOf.get(name).equals(zoneOfName.get(name)));
        removed.forEach(this::remove);
        for (Map.Entry<String, String> entry : zoneOfName.entrySet()) {
            if (!mZoneOf.containsKey(entry.getKey())) {
                add(entry.getKey(), entry.getValue());
            }
        }
    }

    private void add(String name, String zone) {
        mZoneOf.put(name, zone);
        mZoneSizes.merge(zone, 1, Integer::sum);
        count(name, zone, 1);
    }

    private void remove(String name) {
        String zone = mZoneOf.remove(name);
        mZoneSizes.computeIfPresent(zone, (key, size) -> size == 1 ? null : size - 1);
        count(name, zone, -1);
    }

    private void count(String name, String zone, int step) {
        if (!zone.equals(mZone) || name.equals(mName)) {
            return;
        }
        for (ZoneRank rank : mRanks.values()) {
            if (rank.ranksAbove(name, mName)) {
                rank.mHigherRanked += step;
            }
        }
    }

    /** Removes the state of all services that aren't in the collection. */
    public void retainServices(Collection<ServiceId> services) {
        mRanks.keySet().retainAll(services);
    }

    /**
     * Returns whether this VM is in the cell of a service.
     *
     * @param size number of VMs in the cell
     */
    public boolean isInCell(ServiceId service, int size) {
        if (!mZoneOf.containsKey(mName)) {
            return false;
        }
        ZoneRank rank = mRanks.computeIfAbsent(service, this::newRank);
        return rank.mHigherRanked < slotsInOwnZone(rank, size);
    }

    private ZoneRank newRank(ServiceId service) {
        ZoneRank rank = new ZoneRank(service, mName);
        for (Map.Entry<String, String> entry : mZoneOf.entrySet()) {
            boolean other = entry.getValue().equals(mZone) && !entry.getKey().equals(mName);
            if (other && rank.ranksAbove(entry.getKey(), mName)) {
                rank.mHigherRanked++;
            }
        }
        return rank;
    }

    /** Assigns the cell's slots to the zones round-robin, like {@link CellPlanner}. */
    private int slotsInOwnZone(ZoneRank rank, int size) {
        List<Zone> zones = new ArrayList<>();
        mZoneSizes.forEach((name, ignored) -> zones.add(zone(rank, name)));
        zones.sort(Zone.BEST_FIRST);
        int assigned = 0;
        int own = 0;
        for (int round = 0; assigned < size; round++) {
            int before = assigned;
            for (Zone zone : zones) {
                if (mZoneSizes.get(zone.name()) > round && assigned < size) {
                    assigned++;
                    own += zone.name().equals(mZone) ? 1 : 0;
                }
            }
            if (assigned == before) {
                return own;
            }
        }
        return own;
    }

    private static Zone zone(ZoneRank rank, String name) {
        return new Zone(name, rank.mRendezvous.score(name));
    }
}
