package org.dahliapass.decisions.configuration;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.dahliapass.model.Vm;
import org.dahliapass.model.VmIdentity;

/**
 * Tells which members watch the store: in each availability zone the {@link #PER_ZONE} that rank
 * highest by rendezvous hashing.
 *
 * <p>Decided from the member list alone. Members whose lists differ for a while may pick different
 * watchers; that costs a few calls more, or a few seconds, and never correctness.
 */
public final class Watchers {
    /** How many members of a zone watch, so that one may fail unnoticed. */
    public static final int PER_ZONE = 2;

    private static final long SEED = 0x9E3779B97F4A7C15L;
    private static final long FIRST_FACTOR = 0xBF58476D1CE4E5B9L;
    private static final long SECOND_FACTOR = 0x94D049BB133111EBL;

    private Watchers() {}

    /** Returns the watchers of a zone, the first-ranked first. */
    public static List<VmIdentity> ofZone(String availabilityZone, Collection<Vm> members) {
        return members.stream()
                .filter(vm -> vm.availabilityZone().equals(availabilityZone))
                .map(Vm::identity)
                .sorted(Comparator.comparingLong(Watchers::rank).thenComparing(id -> id))
                .limit(PER_ZONE)
                .toList();
    }

    /** Returns whether a member of the list watches the store. */
    public static boolean watches(Vm self, Collection<Vm> members) {
        return ofZone(self.availabilityZone(), members).contains(self.identity());
    }

    /** Spreads identities evenly over all numbers, the same way on every VM. */
    private static long rank(VmIdentity identity) {
        long mixed = SEED ^ identity.incarnation();
        for (int place = 0; place < identity.name().length(); place++) {
            mixed = mix(mixed + identity.name().charAt(place));
        }
        return mix(mixed);
    }

    private static long mix(long value) {
        long first = (value ^ (value >>> 30)) * FIRST_FACTOR;
        long second = (first ^ (first >>> 27)) * SECOND_FACTOR;
        return second ^ (second >>> 31);
    }
}
