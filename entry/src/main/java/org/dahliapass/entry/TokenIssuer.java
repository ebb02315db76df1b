package org.dahliapass.entry;

import java.time.Clock;
import java.util.Comparator;
import java.util.List;
import org.dahliapass.decisions.once.OperationToken;
import org.dahliapass.model.Vm;
import org.dahliapass.model.VmIdentity;

/** Mints the tokens with which the keys of guarded operations begin. */
final class TokenIssuer {
    private final Clock mClock;
    private final FleetService mFleet;
    private final WitnessReachability mReachability;

    TokenIssuer(Clock clock, FleetService fleet, WitnessReachability reach) {
        mClock = clock;
        mFleet = fleet;
        mReachability = reach;
    }

    /** Returns a token whose home is this VM; empty text while there is no second VM. */
    String issueForSelf() {
        return issue(mFleet.view().self(), mFleet.view().members());
    }

    /**
     * Returns a token whose home is the given VM.
     *
     * <p>The witness is another VM of the home's cell, one that this VM hears, in another
     * availability zone if there is one, so that one zone's loss doesn't take both. Which VM it is
     * matters for availability only: the key names it, and nobody else's word counts.
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

    /** Spreads the homes over the witnesses. */
    private static int distance(Vm home, Vm vm) {
        return (vm.identity().name() + home.identity().name()).hashCode() & Integer.MAX_VALUE;
    }
}
