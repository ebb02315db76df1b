package org.dahliapass.decisions.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.routing.FleetVm;
import org.dahliapass.model.routing.VmCapacity;
import org.testng.annotations.Test;

/** Tests of {@link UpstreamPlan}. */
public final class UpstreamPlanTest {
    private static final long PAUSE = 3_000;

    private final List<FleetVm> mVms = fleet();
    private final AddressPlan mPlan = new AddressPlan(mVms, 0, 2);

    @Test
    public void onlyTheChosenVmsWatchTheStore() {
        long watching =
                mVms.stream().filter(vm -> plan(vm).source(mPlan, true, 0).isEmpty()).count();
        assertEquals(watching, 4);
    }

    @Test
    public void othersFollowAVmOfTheirZone() {
        FleetVm follower = follower();
        FleetVm source = plan(follower).source(mPlan, true, 0).orElseThrow();
        assertEquals(source.availabilityZone(), follower.availabilityZone());
        assertTrue(mPlan.watchers().contains(source));
    }

    @Test
    public void sourceThatFailedIsPassedOverForAWhile() {
        FleetVm follower = follower();
        UpstreamPlan plan = plan(follower);
        FleetVm first = plan.source(mPlan, true, 0).orElseThrow();
        plan.onFailed(first, 0);
        assertNotEquals(plan.source(mPlan, true, 1).orElseThrow(), first);
        assertEquals(plan.source(mPlan, true, PAUSE).orElseThrow(), first);
    }

    @Test
    public void storeIsTheLastResort() {
        FleetVm follower = follower();
        UpstreamPlan plan = plan(follower);
        mPlan.watchers().forEach(vm -> plan.onFailed(vm, 0));
        assertTrue(plan.source(mPlan, true, 1).isEmpty());
    }

    /** The store turns some VMs away and serves the others, which still tell what they hear. */
    @Test
    public void watcherThatTheStoreTurnsAwayFollowsAnother() {
        FleetVm watcher = mPlan.watchers().iterator().next();
        FleetVm source = plan(watcher).source(mPlan, false, 0).orElseThrow();
        assertNotEquals(source, watcher);
        assertTrue(mPlan.watchers().contains(source));
    }

    private UpstreamPlan plan(FleetVm self) {
        return new UpstreamPlan(self, PAUSE);
    }

    private FleetVm follower() {
        Set<FleetVm> takers = mPlan.watchers();
        return mVms.stream().filter(vm -> !takers.contains(vm)).findFirst().orElseThrow();
    }

    private static List<FleetVm> fleet() {
        List<FleetVm> vms = new ArrayList<>();
        for (int zone = 0; zone < 2; zone++) {
            for (int number = 0; number < 8; number++) {
                Endpoint callers = new Endpoint("10." + zone + ".0." + number, 80);
                Endpoint peers = new Endpoint("10." + zone + ".0." + number, 81);
                String name = "vm-" + zone + "-" + number;
                vms.add(
                        new FleetVm(
                                name,
                                "zone-" + zone,
                                "region",
                                callers,
                                peers,
                                VmCapacity.ASSUMED));
            }
        }
        return vms;
    }
}
