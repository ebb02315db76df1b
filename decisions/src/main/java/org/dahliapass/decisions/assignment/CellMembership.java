package org.dahliapass.decisions.assignment;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.dahliapass.model.ServiceId;

/**
 * Tells for each service whether this VM is in its cell, without planning the cells.
 *
 * <p>For each service it counts the members of its own zone that rank above this VM. A member that
 * comes or goes costs one score per service; planning all cells anew would cost one per service and
 * member. It agrees with {@link CellPlanner} on the same members.
 */
public final class CellMembership {
    private final String mName;
    private final String mZone;
    private final Map<String, Integer> mZoneSizes = new HashMap<>();
    private final Map<ServiceId, Place> mPlaces = new HashMap<>();
    private final Map<String, String> mZoneOf = new HashMap<>();

    /** This VM's place in the order of its zone for one service. */
    private static final class Place {
        private final Rendezvous mRendezvous;
        private final double mOwnScore;
        private int mAhead;

        Place(ServiceId service, String name) {
            mRendezvous = Rendezvous.of(service.toString());
            mOwnScore = mRendezvous.score(name);
        }

        /** Returns whether another member of the zone ranks above this VM. */
        boolean isAhead(String other, String self) {
            int byScore = Double.compare(mRendezvous.score(other), mOwnScore);
            return byScore > 0 || (byScore == 0 && other.compareTo(self) < 0);
        }
    }

    /** A zone with its score for a service. */
    private record Zone(String name, double score) {
        static final Comparator<Zone> BEST_FIRST =
                Comparator.comparingDouble((Zone zone) -> -zone.score()).thenComparing(Zone::name);
    }

    /**
     * Starts with this VM alone, and in no cell until it is added itself.
     *
     * @param name this VM's name
     * @param availabilityZone this VM's zone
     */
    public CellMembership(String name, String availabilityZone) {
        mName = name;
        mZone = availabilityZone;
    }

    /** Takes the names and zones of all members that may be in cells, this VM's among them. */
    public void updateMembers(Map<String, String> zoneOfName) {
        List<String> gone = new ArrayList<>(mZoneOf.keySet());
        gone.removeIf(name -> mZoneOf.get(name).equals(zoneOfName.get(name)));
        gone.forEach(this::remove);
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
        for (Place place : mPlaces.values()) {
            if (place.isAhead(name, mName)) {
                place.mAhead += step;
            }
        }
    }

    /** Forgets the services that aren't in this collection. */
    public void retainServices(Collection<ServiceId> services) {
        mPlaces.keySet().retainAll(services);
    }

    /** Returns whether this VM is in the cell of a service with that many places. */
    public boolean isInCell(ServiceId service, int size) {
        if (!mZoneOf.containsKey(mName)) {
            return false;
        }
        Place place = mPlaces.computeIfAbsent(service, this::newPlace);
        return place.mAhead < placesOfZone(place, size);
    }

    private Place newPlace(ServiceId service) {
        Place place = new Place(service, mName);
        for (Map.Entry<String, String> entry : mZoneOf.entrySet()) {
            boolean other = entry.getValue().equals(mZone) && !entry.getKey().equals(mName);
            if (other && place.isAhead(entry.getKey(), mName)) {
                place.mAhead++;
            }
        }
        return place;
    }

    /** Deals the cell's places to the zones in rounds, as the planner does. */
    private int placesOfZone(Place place, int size) {
        List<Zone> zones = new ArrayList<>();
        mZoneSizes.forEach((name, ignored) -> zones.add(zone(place, name)));
        zones.sort(Zone.BEST_FIRST);
        int dealt = 0;
        int own = 0;
        for (int round = 0; dealt < size; round++) {
            int before = dealt;
            for (Zone zone : zones) {
                if (mZoneSizes.get(zone.name()) > round && dealt < size) {
                    dealt++;
                    own += zone.name().equals(mZone) ? 1 : 0;
                }
            }
            if (dealt == before) {
                return own;
            }
        }
        return own;
    }

    private static Zone zone(Place place, String name) {
        return new Zone(name, place.mRendezvous.score(name));
    }
}
