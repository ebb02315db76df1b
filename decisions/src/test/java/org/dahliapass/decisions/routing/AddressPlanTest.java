package org.dahliapass.decisions.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.routing.FleetVm;
import org.dahliapass.model.routing.VmCapacity;
import org.testng.annotations.Test;

/** Tests of {@link AddressPlan}. */
public final class AddressPlanTest {
    @Test
    public void callersGetVmsOfTheirZone() {
        List<Endpoint> addresses = plan(fleet(10)).addresses("zone-1", "region");
        assertEquals(addresses.size(), 2);
        assertTrue(addresses.stream().allMatch(address -> address.host().startsWith("10.1.")));
    }

    @Test
    public void zoneWithoutVmsGetsVmsOfItsRegion() {
        assertEquals(plan(fleet(10)).addresses("zone-9", "region").size(), 2);
    }

    @Test
    public void planIsIndependentOfInputOrder() {
        List<FleetVm> reversed = new ArrayList<>(fleet(10));
        java.util.Collections.reverse(reversed);
        assertEquals(
                plan(reversed).addresses("zone-0", "region"),
                plan(fleet(10)).addresses("zone-0", "region"));
    }

    @Test
    public void removedVmIsReplacedWithoutOtherChanges() {
        List<Endpoint> before = plan(fleet(10)).addresses("zone-0", "region");
        List<FleetVm> rest = new ArrayList<>(fleet(10));
        rest.removeIf(vm -> vm.callerEndpoint().equals(before.get(0)));
        Set<Endpoint> after = new HashSet<>(plan(rest).addresses("zone-0", "region"));
        assertTrue(after.contains(before.get(1)));
        assertEquals(after.size(), 2);
    }

    /** Guards against small VMs that get the same load as large VMs. */
    @Test
    public void onlyLargeVmsAreAdvertisedIfSufficient() {
        List<FleetVm> vms = mixedSizes(2, 20);
        AddressPlan plan = new AddressPlan(vms, 300, 2);
        assertEquals(hosts(plan), Set.of("large-0", "large-1"));
    }

    @Test
    public void smallVmsAreAdvertisedIfLargeVmsAreInsufficient() {
        AddressPlan plan = new AddressPlan(mixedSizes(1, 20), 300, 2);
        // A small VM carries 75 requests/s, planned at 60%, and bounds the load of every VM.
        assertEquals(hosts(plan).size(), 7);
        assertTrue(hosts(plan).contains("large-0"));
    }

    @Test
    public void linkBandwidthLimitsCapacity() {
        List<FleetVm> vms = new ArrayList<>();
        for (int number = 0; number < 10; number++) {
            vms.add(vm("thin-" + number, "zone", new VmCapacity(10, 5)));
        }
        assertEquals(hosts(new AddressPlan(vms, 90, 2)).size(), 3);
    }

    /** Guards against slow responses from many small VMs while other zones have spare large VMs. */
    @Test
    public void zoneThatLostALargeVmUsesLargeVmsOfItsRegion() {
        List<FleetVm> vms = new ArrayList<>(mixedSizes(1, 20));
        for (int number = 0; number < 4; number++) {
            vms.add(vm("other-" + number, "other", new VmCapacity(1.5, 140)));
        }
        AddressPlan plan = new AddressPlan(vms, 500, 2);
        assertEquals(hosts(plan).size(), 3);
        assertTrue(hosts(plan).stream().noneMatch(host -> host.startsWith("small")));
        assertEquals(plan.addresses("other", "region").size(), 2);
    }

    @Test
    public void overloadedZoneUsesVmsOfItsRegion() {
        List<FleetVm> vms = new ArrayList<>(mixedSizes(0, 1));
        for (int number = 0; number < 4; number++) {
            vms.add(vm("other-" + number, "other", new VmCapacity(1.5, 140)));
        }
        AddressPlan plan = new AddressPlan(vms, 500, 2);
        // The small VM would limit the load of every VM in its set.
        assertEquals(hosts(plan).size(), 3);
        assertTrue(hosts(plan).stream().allMatch(host -> host.startsWith("other")));
    }

    @Test
    public void largestCapacityIsAdvertisedIfTheFleetIsInsufficient() {
        assertEquals(hosts(new AddressPlan(mixedSizes(0, 20), 1e6, 2)).size(), 20);
        assertEquals(hosts(new AddressPlan(mixedSizes(1, 0), 1e6, 2)).size(), 1);
        assertEquals(hosts(new AddressPlan(List.of(), 1e6, 2)).size(), 0);
    }

    @Test
    public void numberOfWatchersIsIndependentOfAdvertisedVms() {
        AddressPlan plan = new AddressPlan(mixedSizes(0, 20), 1e6, 2);
        assertEquals(plan.watchers().size(), 3);
        assertEquals(plan.advertisedVms().size(), 20);
    }

    /** Guards against callers that are sent to VMs without a path to any target. */
    @Test
    public void vmsThatReachNoTargetAreNotAdvertised() {
        List<FleetVm> vms = new ArrayList<>(fleet(10));
        List<Endpoint> before = plan(vms).addresses("zone-0", "region");
        vms.replaceAll(
                vm -> before.contains(vm.callerEndpoint()) ? vm.withReachesTargets(false) : vm);
        List<Endpoint> after = plan(vms).addresses("zone-0", "region");
        assertEquals(after.size(), 2);
        assertTrue(after.stream().noneMatch(before::contains));
        assertEquals(
                plan(vms).addresses("zone-1", "region"),
                plan(fleet(10)).addresses("zone-1", "region"));
    }

    /** The VMs of a zone that reach no target still watch the store. */
    @Test
    public void zoneWithoutPathsUsesVmsOfItsRegion() {
        List<FleetVm> vms = new ArrayList<>(fleet(10));
        vms.replaceAll(
                vm -> vm.availabilityZone().equals("zone-0") ? vm.withReachesTargets(false) : vm);
        AddressPlan plan = new AddressPlan(vms, 60, 2);
        List<Endpoint> addresses = plan.addresses("zone-0", "region");
        assertTrue(addresses.size() >= 2);
        assertTrue(addresses.stream().noneMatch(address -> address.host().startsWith("10.0.")));
        assertEquals(plan.watchers().size(), 3);
        assertTrue(plan.watchers().stream().anyMatch(vm -> vm.availabilityZone().equals("zone-0")));
    }

    /** Guards against a fleet without addresses while all targets are gone. */
    @Test
    public void allVmsAreAdvertisedAsUsualIfNoneReachesATarget() {
        List<FleetVm> vms = new ArrayList<>(fleet(10));
        vms.replaceAll(vm -> vm.withReachesTargets(false));
        assertEquals(
                plan(vms).addresses("zone-0", "region"),
                plan(fleet(10)).addresses("zone-0", "region"));
    }

    private static Set<String> hosts(AddressPlan plan) {
        Set<String> hosts = new HashSet<>();
        plan.addresses("zone", "region").forEach(address -> hosts.add(address.host()));
        return hosts;
    }

    private static List<FleetVm> mixedSizes(int large, int small) {
        List<FleetVm> vms = new ArrayList<>();
        for (int number = 0; number < small; number++) {
            vms.add(vm("small-" + number, "zone", new VmCapacity(0.3, 10)));
        }
        for (int number = 0; number < large; number++) {
            vms.add(vm("large-" + number, "zone", new VmCapacity(1.5, 140)));
        }
        return vms;
    }

    private static FleetVm vm(String name, String zone, VmCapacity capacity) {
        Endpoint address = new Endpoint(name, 80);
        return new FleetVm(name, zone, "region", address, address, capacity);
    }

    private static AddressPlan plan(List<FleetVm> vms) {
        return new AddressPlan(vms, 0, 2);
    }

    private static List<FleetVm> fleet(int perZone) {
        List<FleetVm> vms = new ArrayList<>();
        for (int zone = 0; zone < 3; zone++) {
            for (int number = 0; number < perZone; number++) {
                vms.add(
                        new FleetVm(
                                "vm-" + zone + "-" + number,
                                "zone-" + zone,
                                "region",
                                new Endpoint("10." + zone + ".0." + number, 80),
                                new Endpoint("10." + zone + ".0." + number, 81),
                                VmCapacity.DEFAULT));
            }
        }
        return vms;
    }
}
