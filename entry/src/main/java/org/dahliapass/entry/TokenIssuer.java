package org.dahliapass.entry;

import java.time.Clock;
import java.util.Comparator;
import java.util.List;
import org.dahliapass.decisions.once.OperationToken;
import org.dahliapass.model.Vm;
import org.dahliapass.model.VmIdentity;

/** Issues the tokens that begin the keys of at-most-once operations. */
final class TokenIssuer {
    private final Clock mClock;
    private final FleetService mFleet;
    private final WitnessReachability mReachability;

    TokenIssuer(Clock clock, FleetService fleet, WitnessReachability reach) {
        mClock = clock;
        mFleet = fleet;
        mReachability = reach;
    }

    /** Returns a token whose home is this VM, or an empty string if there is no other VM. */
    String issueForSelf() {
        return issue(mFleet.view().self(), mFleet.view().members());
    }

    /**
     * Returns a token whose home is the given VM, or an empty string if there is no other VM.
     *
     * <p>The witness is preferably a reachable VM in another availability zone, so that the loss of
     * one zone does not affect both. The choice affects availability only, not correctness.
     */
    String issue(Vm home, List<Vm> cell) {
        long now = mClock.millis();
        return cell.stream()
                .filter(vm -> !vm.identity().name().equals(home.identity().name()))
                .min(
                        Comparator.comparingLong(
                                        (Vm vm) ->
                                                mReachability.lastTimeoutMillis(vm.identity(), now))
                                .thenComparing(vm -> sameZone(vm, home))
                                .thenComparing(vm -> distance(home, vm)))
                .map(witness -> token(home.identity(), witness.identity()))
                .orElse("");
    }

    private String token(VmIdentity home, VmIdentity witness) {
        return new OperationToken(home, witness, mClock.millis()).toString();
    }

    private static boolean sameZone(Vm vm, Vm home) {
        return vm.availabilityZone().equals(home.availabilityZone());
    }

    /** Distributes the homes over the witnesses. */
    private static int distance(Vm home, Vm vm) {
        return (vm.identity().name() + home.identity().name()).hashCode() & Integer.MAX_VALUE;
    }
}
