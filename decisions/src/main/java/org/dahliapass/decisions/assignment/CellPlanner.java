package org.dahliapass.decisions.assignment;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.dahliapass.decisions.membership.MemberUpdate;
import org.dahliapass.model.ServiceId;

/**
 * Chooses the cell of a service: a few VMs, spread evenly over the availability zones.
 *
 * <p>A VM is ranked by its name alone, so a restarted one keeps its place, and a lost one gives its
 * place to the next of its zone while the other places stay. All VMs with the same member list
 * choose the same cell.
 */
public final class CellPlanner {
    private CellPlanner() {}

    /** A VM or zone with its score; ties go to the lower name, so that the order is total. */
    private record Ranked<T>(T item, String name, double score) {
        static <T> Comparator<Ranked<T>> bestFirst() {
            return Comparator.comparingDouble((Ranked<T> ranked) -> -ranked.score())
                    .thenComparing(Ranked::name);
        }
    }

    /**
     * Returns the cell of a service in order of rank; the first VM of each zone comes before the
     * second of any.
     *
     * @param service the service
     * @param size how many VMs serve it; fewer if the fleet has fewer
     * @param members the member list; those that leave or are dead get no place
     */
    public static List<MemberUpdate> plan(
            ServiceId service, int size, Collection<MemberUpdate> members) {
        Rendezvous rendezvous = Rendezvous.of(service.toString());
        Map<String, List<Ranked<MemberUpdate>>> byZone = new HashMap<>();
        for (MemberUpdate member : members) {
            if (member.state().isInCells()) {
                String name = member.identity().name();
                byZone.computeIfAbsent(member.vm().availabilityZone(), zone -> new ArrayList<>())
                        .add(new Ranked<>(member, name, rendezvous.score(name)));
            }
        }
        return roundOverZones(zonesByRank(rendezvous, byZone), size);
    }

    private static List<Deque<Ranked<MemberUpdate>>> zonesByRank(
            Rendezvous rendezvous, Map<String, List<Ranked<MemberUpdate>>> byZone) {
        List<Ranked<Deque<Ranked<MemberUpdate>>>> zones = new ArrayList<>();
        byZone.forEach(
                (zone, members) -> {
                    members.sort(Ranked.bestFirst());
                    double score = rendezvous.score(zone);
                    zones.add(new Ranked<>(new ArrayDeque<>(members), zone, score));
                });
        zones.sort(Ranked.bestFirst());
        return zones.stream().map(Ranked::item).toList();
    }

    private static List<MemberUpdate> roundOverZones(
            List<Deque<Ranked<MemberUpdate>>> zones, int size) {
        List<MemberUpdate> cell = new ArrayList<>(size);
        boolean found = true;
        while (found && cell.size() < size) {
            found = false;
            for (Deque<Ranked<MemberUpdate>> zone : zones) {
                if (!zone.isEmpty() && cell.size() < size) {
                    cell.add(zone.remove().item());
                    found = true;
                }
            }
        }
        return cell;
    }
}
