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
 * Assigns VMs to the cell of a service, spread evenly over the availability zones.
 *
 * <p>VMs are ranked by name alone: a restarted VM keeps its slot, and the slot of a lost VM goes to
 * the next one of its zone without moving the others. The result depends only on the member list.
 */
public final class CellPlanner {
    private CellPlanner() {}

    /** A VM or zone with its score; ties are broken by name. */
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
     * @param size maximum number of VMs in the cell
     * @param members the member list; leaving and dead members are skipped
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
        return roundRobin(zonesByRank(rendezvous, byZone), size);
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

    private static List<MemberUpdate> roundRobin(
            List<Deque<Ranked<MemberUpdate>>> zones, int size) {
        List<MemberUpdate> cell = new ArrayList<>(size);
        boolean added = true;
        while (added && cell.size() < size) {
            added = false;
            for (Deque<Ranked<MemberUpdate>> zone : zones) {
                if (!zone.isEmpty() && cell.size() < size) {
                    cell.add(zone.remove().item());
                    added = true;
                }
            }
        }
        return cell;
    }
}
