package org.dahliapass.lab.capacity;

import java.util.ArrayList;
import java.util.List;
import org.dahliapass.decisions.membership.MemberState;
import org.dahliapass.decisions.membership.MemberUpdate;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.Vm;
import org.dahliapass.model.VmIdentity;

/** Deterministic sample VMs with the name and address lengths of a large fleet. */
final class SampleFleet {
    /** Availability zones of all regions of the sample fleet. */
    static final int ZONES = 8;

    private static final long FIRST_INCARNATION = 1_700_000_000_000L << 20;
    private static final int CALLERS_PORT = 8080;
    private static final int PEERS_PORT = 8700;
    private static final int OPERATORS_PORT = 8800;
    private static final int BYTE_VALUES = 256;

    private SampleFleet() {}

    /** Returns the zone of a VM. */
    static String zone(int number) {
        return "kathmandu-" + (char) ('a' + number % ZONES);
    }

    /** Returns the identity of a VM's first incarnation. */
    static VmIdentity identity(int number) {
        return new VmIdentity("entry-" + (10_000 + number), FIRST_INCARNATION + number);
    }

    /** Returns the update of an alive VM. */
    static MemberUpdate member(int number) {
        return member(number, MemberState.ALIVE, 0);
    }

    /** Returns the update of a VM's successor in a fleet of the given size. */
    static MemberUpdate successor(int number, int vms) {
        MemberUpdate former = member(number);
        VmIdentity identity =
                new VmIdentity(former.identity().name(), FIRST_INCARNATION + vms + number);
        Vm vm =
                new Vm(
                        identity,
                        former.vm().availabilityZone(),
                        former.vm().callerEndpoint(),
                        former.vm().peerEndpoint());
        return new MemberUpdate(vm, former.operators(), MemberState.ALIVE, 0);
    }

    /** Returns the update of a VM. */
    static MemberUpdate member(int number, MemberState state, int refutation) {
        String host = "10.20." + number / BYTE_VALUES + "." + number % BYTE_VALUES;
        Vm vm =
                new Vm(
                        identity(number),
                        zone(number),
                        new Endpoint(host, CALLERS_PORT),
                        new Endpoint(host, PEERS_PORT));
        return new MemberUpdate(vm, new Endpoint(host, OPERATORS_PORT), state, refutation);
    }

    /** Returns the updates of the VMs numbered {@code from} to {@code to}, exclusive. */
    static List<MemberUpdate> members(int from, int to) {
        List<MemberUpdate> members = new ArrayList<>(to - from);
        for (int number = from; number < to; number++) {
            members.add(member(number));
        }
        return members;
    }
}
