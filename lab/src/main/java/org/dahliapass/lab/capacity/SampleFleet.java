package org.dahliapass.lab.capacity;

import java.util.ArrayList;
import java.util.List;
import org.dahliapass.decisions.membership.MemberState;
import org.dahliapass.decisions.membership.MemberUpdate;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.Vm;
import org.dahliapass.model.VmIdentity;

/** VMs with names and addresses as long as in a large fleet; the same in every run. */
final class SampleFleet {
    /** Availability zones of the sample fleet, all regions together. */
    static final int ZONES = 8;

    private static final long FIRST_INCARNATION = 1_700_000_000_000L << 20;
    private static final int CALLERS_PORT = 8080;
    private static final int PEERS_PORT = 8700;
    private static final int OPERATORS_PORT = 8800;
    private static final int BYTE = 256;

    private SampleFleet() {}

    /** Returns the zone of a VM. */
    static String zone(int number) {
        return "kathmandu-" + (char) ('a' + number % ZONES);
    }

    /** Returns the identity of a VM's first life. */
    static VmIdentity identity(int number) {
        return new VmIdentity("entry-" + (10_000 + number), FIRST_INCARNATION + number);
    }

    /** Returns the news of a VM that is alive. */
    static MemberUpdate member(int number) {
        return member(number, MemberState.ALIVE, 0);
    }

    /** Returns the news of a VM's next life, in a fleet of so many VMs. */
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

    /** Returns the news of a VM. */
    static MemberUpdate member(int number, MemberState state, int refutation) {
        String host = "10.20." + number / BYTE + "." + number % BYTE;
        Vm vm =
                new Vm(
                        identity(number),
                        zone(number),
                        new Endpoint(host, CALLERS_PORT),
                        new Endpoint(host, PEERS_PORT));
        return new MemberUpdate(vm, new Endpoint(host, OPERATORS_PORT), state, refutation);
    }

    /** Returns the news of the VMs from one number up to before another. */
    static List<MemberUpdate> members(int from, int to) {
        List<MemberUpdate> members = new ArrayList<>(to - from);
        for (int number = from; number < to; number++) {
            members.add(member(number));
        }
        return members;
    }
}
