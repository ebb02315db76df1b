package org.dahliapass.decisions.membership;

import org.dahliapass.model.Endpoint;
import org.dahliapass.model.Vm;
import org.dahliapass.model.VmIdentity;

/**
 * News of one VM, as gossip carries it. Updates of one name are totally ordered by incarnation,
 * refutation counter and state, so that all VMs end with the same one whatever the order of
 * arrival.
 *
 * @param vm the VM
 * @param operators where operators reach it (HTTP)
 * @param state its state
 * @param refutation grows when the VM contradicts a verdict or begins to leave; starts at 0 with
 *     each incarnation
 */
public record MemberUpdate(Vm vm, Endpoint operators, MemberState state, int refutation) {
    private static final int FIXED_BYTES = 40;
    private static final int BYTES_PER_ADDRESS = 10;

    /** Returns the VM's name and incarnation. */
    public VmIdentity identity() {
        return vm.identity();
    }

    /** Returns the same news with another state. */
    MemberUpdate withState(MemberState newState) {
        return new MemberUpdate(vm, operators, newState, refutation);
    }

    /** Returns the same news with another state and refutation counter. */
    MemberUpdate withState(MemberState newState, int newRefutation) {
        return new MemberUpdate(vm, operators, newState, newRefutation);
    }

    /** Returns whether this replaces the other news of the same name. */
    boolean supersedes(MemberUpdate other) {
        int byIncarnation = Long.compare(identity().incarnation(), other.identity().incarnation());
        if (byIncarnation != 0) {
            return byIncarnation > 0;
        }
        if (refutation != other.refutation) {
            return refutation > other.refutation;
        }
        return state.compareTo(other.state) > 0;
    }

    /** Returns whether both are of the same incarnation and refutation counter. */
    boolean hasSameVersion(MemberUpdate other) {
        return identity().equals(other.identity()) && refutation == other.refutation;
    }

    /** Returns an upper bound of the encoded size in bytes, for names of ASCII letters. */
    int sizeBytes() {
        return FIXED_BYTES
                + vm.identity().name().length()
                + vm.availabilityZone().length()
                + addressBytes(vm.callerEndpoint())
                + addressBytes(vm.peerEndpoint())
                + addressBytes(operators);
    }

    private static int addressBytes(Endpoint endpoint) {
        return BYTES_PER_ADDRESS + endpoint.host().length();
    }
}
