package org.dahliapass.decisions.membership;

import org.dahliapass.model.Endpoint;
import org.dahliapass.model.Vm;
import org.dahliapass.model.VmIdentity;

/**
 * The state of one member, as carried by gossip. Updates of one name are totally ordered by
 * incarnation, refutation counter and state, so that all VMs converge whatever the order of
 * arrival.
 *
 * @param operators the HTTP endpoint for operators
 * @param refutation counter that the VM increments to refute a verdict or to leave; 0 at the start
 *     of each incarnation
 */
public record MemberUpdate(Vm vm, Endpoint operators, MemberState state, int refutation) {
    private static final int FIXED_BYTES = 40;
    private static final int BYTES_PER_ADDRESS = 10;

    /** Returns the VM's name and incarnation. */
    public VmIdentity identity() {
        return vm.identity();
    }

    /** Returns this update with another state. */
    MemberUpdate withState(MemberState newState) {
        return new MemberUpdate(vm, operators, newState, refutation);
    }

    /** Returns this update with another state and refutation counter. */
    MemberUpdate withState(MemberState newState, int newRefutation) {
        return new MemberUpdate(vm, operators, newState, newRefutation);
    }

    /** Returns whether this update takes precedence over another one of the same name. */
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

    /** Returns whether both updates have the same incarnation and refutation counter. */
    boolean hasSameVersion(MemberUpdate other) {
        return identity().equals(other.identity()) && refutation == other.refutation;
    }

    /** Returns an upper bound of the encoded size in bytes, for ASCII names. */
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
