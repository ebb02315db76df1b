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
    private final AddressPlan mPlan = new AddressPlan(2);

    @Test
    public void callersGetVmsOfTheirZone() {
        List<Endpoint> addresses = mPlan.addresses(fleet(10), "zone-1", "region");
        assertEquals(addresses.size(), 2);
        assertTrue(addresses.stream().allMatch(address -> address.host().startsWith("10.1.")));
    }

    @Test
    public void zoneWithoutVmsGetsThoseOfTheRegion() {
        assertEquals(mPlan.addresses(fleet(10), "zone-9", "region").size(), 2);
    }

    @Test
    public void orderOfTheListDoesNotMatter() {
        List<FleetVm> reversed = new ArrayList<>(fleet(10));
        java.util.Collections.reverse(reversed);
        assertEquals(
                mPlan.addresses(reversed, "zone-0", "region"),
                mPlan.addresses(fleet(10), "zone-0", "region"));
    }

    @Test
    public void vmThatGoesChangesOnlyItsOwnPlace() {
        List<Endpoint> before = mPlan.addresses(fleet(10), "zone-0", "region");
        List<FleetVm> rest = new ArrayList<>(fleet(10));
        rest.removeIf(vm -> vm.callers().equals(before.get(0)));
        Set<Endpoint> after = new HashSet<>(mPlan.addresses(rest, "zone-0", "region"));
        assertTrue(after.contains(before.get(1)));
        assertEquals(after.size(), 2);
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
                                VmCapacity.ASSUMED));
            }
        }
        return vms;
    }
}
