package org.dahliapass.decisions.assignment;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.dahliapass.decisions.membership.MemberState;
import org.dahliapass.decisions.membership.MemberUpdate;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.ServiceId;
import org.dahliapass.model.Vm;
import org.dahliapass.model.VmIdentity;
import org.testng.annotations.Test;

/** Tests {@link CellMembership} against the cells of {@link CellPlanner}. */
public final class CellMembershipTest {
    private static final String SELF = "vm-0";

    private static String zoneOf(String name) {
        return "zone-" + Math.floorMod(name.hashCode(), 4);
    }

    private static MemberUpdate member(String name) {
        Endpoint endpoint = new Endpoint("10.0.0.1", 1);
        Vm vm = new Vm(new VmIdentity(name, 1), zoneOf(name), endpoint, endpoint);
        return new MemberUpdate(vm, endpoint, MemberState.ALIVE, 0);
    }

    private static boolean isInPlannedCell(
            ServiceId service, int size, Map<String, String> members) {
        List<MemberUpdate> updates =
                members.keySet().stream().map(CellMembershipTest::member).toList();
        return CellPlanner.plan(service, size, updates).stream()
                .anyMatch(update -> update.identity().name().equals(SELF));
    }

    @Test
    public void agreesWithPlannerWhileMembersChange() {
        SplittableRandom random = new SplittableRandom(5);
        CellMembership membership = new CellMembership(SELF, zoneOf(SELF));
        Map<String, String> members = new HashMap<>();
        List<ServiceId> services = new ArrayList<>();
        for (int number = 0; number < 12; number++) {
            services.add(new ServiceId("customer-" + number, "service"));
        }
        int inCell = 0;
        for (int step = 0; step < 200; step++) {
            String name = "vm-" + random.nextInt(30);
            if (members.remove(name) == null) {
                members.put(name, zoneOf(name));
            }
            membership.updateMembers(members);
            for (ServiceId service : services) {
                int size = 1 + random.nextInt(8);
                boolean expected = isInPlannedCell(service, size, members);
                assertEquals(membership.isInCell(service, size), expected, "step " + step);
                inCell += expected ? 1 : 0;
            }
        }
        assertTrue(inCell > 100, "Expected the VM in more than 100 planned cells, got " + inCell);
    }

    @Test
    public void nonMemberIsInNoCell() {
        CellMembership membership = new CellMembership(SELF, zoneOf(SELF));
        assertFalse(membership.isInCell(new ServiceId("himal", "desk"), 6));
    }

    @Test
    public void onlyMemberIsInEveryCell() {
        CellMembership membership = new CellMembership(SELF, zoneOf(SELF));
        membership.updateMembers(Map.of(SELF, zoneOf(SELF)));
        assertTrue(membership.isInCell(new ServiceId("himal", "desk"), 1));
    }
}
