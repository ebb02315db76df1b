package org.dahliapass.decisions.configuration;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.dahliapass.model.Vm;
import org.dahliapass.model.VmIdentity;

/**
 * Selects the members that watch the store: in each availability zone the {@link #PER_ZONE} members
 * that rank highest by hash.
 *
 * <p>Depends only on the member list. While lists differ, members may select different watchers,
 * which affects load and latency but not correctness.
 */
public final class Watchers {
    /** Number of watchers per zone; two, so that one can fail. */
    public static final int PER_ZONE = 2;

    private static final long SEED = 0x9E3779B97F4A7C15L;
    private static final long FIRST_FACTOR = 0xBF58476D1CE4E5B9L;
    private static final long SECOND_FACTOR = 0x94D049BB133111EBL;

    private Watchers() {}

    /** Returns the watchers of a zone by rank. */
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

    /** Returns a hash of the identity that is the same on every VM. */
    private static long rank(VmIdentity identity) {
        long mixed = SEED ^ identity.incarnation();
        for (int index = 0; index < identity.name().length(); index++) {
            mixed = mix(mixed + identity.name().charAt(index));
        }
        return mix(mixed);
    }

    private static long mix(long value) {
        long first = (value ^ (value >>> 30)) * FIRST_FACTOR;
        long second = (first ^ (first >>> 27)) * SECOND_FACTOR;
        return second ^ (second >>> 31);
    }
}
