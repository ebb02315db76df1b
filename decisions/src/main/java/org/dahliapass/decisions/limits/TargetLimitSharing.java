package org.dahliapass.decisions.limits;

import java.util.List;

/** Which VMs send requests to a target that has named a request limit. */
public enum TargetLimitSharing {
    /** All VMs, each with the same share. */
    ALL_VMS {
        @Override
        int vmsPerTarget(double requestsPerSecond, int vms) {
            return vms;
        }
    },
    /**
     * Few VMs, found by rendezvous hashing: two and one more for each request per second. All
     * others use other targets.
     */
    FEW_VMS {
        @Override
        int vmsPerTarget(double requestsPerSecond, int vms) {
            return (int) Math.min(vms, MIN_VMS + Math.floor(requestsPerSecond));
        }
    };

    /** The target remains in use when one VM is lost. */
    private static final int MIN_VMS = 2;

    private static final long HASH_FACTOR = 0x9E3779B97F4A7C15L;
    private static final long MIX_FACTOR = 0xBF58476D1CE4E5B9L;

    /** Returns how many of the VMs send requests to a target with this limit. */
    abstract int vmsPerTarget(double requestsPerSecond, int vms);

    /**
     * Returns the share of a target's limit that a VM may use.
     *
     * @param self the name of the VM
     * @param vms the names of the VMs that take callers
     * @param target identifies the target; the same on all VMs
     * @param requestsPerSecond the limit
     * @return the share, 0 to 1; 0 if the VM is not one of those that send requests to the target
     */
    double share(String self, List<String> vms, String target, double requestsPerSecond) {
        if (!vms.contains(self)) {
            return 0;
        }
        int count = vmsPerTarget(requestsPerSecond, vms.size());
        long ownScore = score(self, target);
        long ahead =
                vms.stream().filter(vm -> isAhead(score(vm, target), vm, ownScore, self)).count();
        return ahead < count ? 1.0 / count : 0;
    }

    private static boolean isAhead(long score, String vm, long ownScore, String self) {
        return score == ownScore ? vm.compareTo(self) < 0 : score > ownScore;
    }

    private static long score(String vm, String target) {
        long hash = (vm.hashCode() * 31L + target.hashCode()) * HASH_FACTOR;
        hash = (hash ^ (hash >>> 32)) * MIX_FACTOR;
        return hash ^ (hash >>> 29);
    }
}
