package org.dahliapass.decisions.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.Vm;
import org.dahliapass.model.VmIdentity;
import org.testng.annotations.Test;

/** Tests for {@link Watchers}. */
public final class WatchersTest {
    private static final List<String> ZONES = List.of("a", "b", "c");

    private static List<Vm> fleet(int size) {
        List<Vm> vms = new ArrayList<>();
        for (int number = 0; number < size; number++) {
            Endpoint address = new Endpoint("10.0.0.1", 1000 + number);
            VmIdentity identity = new VmIdentity("vm-" + number, 7);
            vms.add(new Vm(identity, ZONES.get(number % ZONES.size()), address, address));
        }
        return vms;
    }

    @Test
    public void numberOfWatchersIsIndependentOfFleetSize() {
        for (int size : new int[] {36, 370, 3700}) {
            List<Vm> vms = fleet(size);
            long watching = vms.stream().filter(vm -> Watchers.watches(vm, vms)).count();
            assertEquals(watching, (long) ZONES.size() * Watchers.PER_ZONE);
        }
    }

    @Test
    public void orderOfListDoesNotMatter() {
        List<Vm> vms = fleet(40);
        List<Vm> shuffled = new ArrayList<>(vms);
        Collections.shuffle(shuffled, new Random(1));
        assertEquals(Watchers.ofZone("b", shuffled), Watchers.ofZone("b", vms));
    }

    @Test
    public void watcherThatLeavesIsReplacedByOneOther() {
        List<Vm> vms = fleet(40);
        List<VmIdentity> before = Watchers.ofZone("a", vms);
        vms.removeIf(vm -> vm.identity().equals(before.get(0)));
        List<VmIdentity> after = Watchers.ofZone("a", vms);
        assertEquals(after.size(), Watchers.PER_ZONE);
        assertEquals(after.get(0), before.get(1));
    }

    @Test
    public void watchersAreSpreadOverIncarnations() {
        Map<String, Integer> counts = new HashMap<>();
        for (int incarnation = 0; incarnation < 1000; incarnation++) {
            List<Vm> vms = new ArrayList<>();
            for (Vm vm : fleet(30)) {
                VmIdentity identity = new VmIdentity(vm.identity().name(), incarnation);
                vms.add(new Vm(identity, "a", vm.callerEndpoint(), vm.peerEndpoint()));
            }
            Watchers.ofZone("a", vms).forEach(id -> counts.merge(id.name(), 1, Integer::sum));
        }
        assertEquals(counts.size(), 30);
        counts.values().forEach(count -> assertTrue(count > 30 && count < 110, "" + counts));
    }
}
