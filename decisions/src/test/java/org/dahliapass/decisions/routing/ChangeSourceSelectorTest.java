package org.dahliapass.decisions.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.routing.FleetVm;
import org.dahliapass.model.routing.VmCapacity;
import org.testng.annotations.Test;

/** Tests of {@link ChangeSourceSelector}. */
public final class ChangeSourceSelectorTest {
    private static final ChangeSource STORE = new ChangeSource.Store();

    private final List<FleetVm> mVms = fleet();
    private final AddressPlan mPlan = new AddressPlan(mVms, 0, 2);

    @Test
    public void onlyTheChosenVmsWatchTheStore() {
        long watching =
                mVms.stream()
                        .filter(vm -> plan(vm).choose(mPlan, true, 0, 0).equals(STORE))
                        .count();
        assertEquals(watching, 3);
    }

    /** The loss of a zone must leave somebody who watches, and the store counts each of them. */
    @Test
    public void watchersStandInAllZonesAndDoNotGrowWithThem() {
        Set<String> zones =
                mPlan.watchers().stream()
                        .map(FleetVm::availabilityZone)
                        .collect(Collectors.toSet());
        assertEquals(zones, Set.of("zone-0", "zone-1"));
        List<FleetVm> many = new ArrayList<>();
        for (int zone = 0; zone < 9; zone++) {
            many.addAll(zone(zone, 3, "region"));
        }
        assertEquals(new AddressPlan(many, 0, 2).watchers().size(), 3);
    }

    /** Regions lose each other for minutes, so each has VMs that watch the store. */
    @Test
    public void eachRegionHasItsOwnWatchers() {
        List<FleetVm> vms = new ArrayList<>(zone(0, 5, "east"));
        vms.addAll(zone(1, 2, "west"));
        Set<FleetVm> watchers = new AddressPlan(vms, 0, 2).watchers();
        assertEquals(watchers.stream().filter(vm -> vm.region().equals("east")).count(), 3);
        assertEquals(watchers.stream().filter(vm -> vm.region().equals("west")).count(), 2);
    }

    @Test
    public void othersFollowAVmOfTheirZone() {
        FleetVm follower = follower();
        FleetVm source = source(plan(follower), 0, 0);
        assertEquals(source.availabilityZone(), follower.availabilityZone());
        assertTrue(mPlan.watchers().contains(source));
    }

    @Test
    public void sourceThatIsSilentIsPassedOverForThreeSeconds() {
        ChangeSourceSelector plan = plan(follower());
        FleetVm first = source(plan, 0, 0);
        plan.onTimeout(first, 0);
        assertNotEquals(source(plan, 0, 2_999), first);
        assertEquals(source(plan, 0, 3_000), first);
    }

    /** A VM that is starting, or that looks for the store itself, serves again soon. */
    @Test
    public void sourceThatRefusedIsPassedOverForOneSecond() {
        ChangeSourceSelector plan = plan(follower());
        FleetVm first = source(plan, 0, 0);
        plan.onConnectionFailure(first, 0);
        assertNotEquals(source(plan, 0, 999), first);
        assertEquals(source(plan, 0, 1_000), first);
    }

    /**
     * Callers get 404 for a new route after all who watched the store died in one moment. A VM that
     * heard something just now looks for another source first, as all others do; after one of the
     * two seconds in which a change must be in force it asks the store.
     */
    @Test
    public void storeIsTheLastResortAfterASecondWithoutASource() {
        ChangeSourceSelector plan = plan(follower());
        mPlan.watchers().forEach(vm -> plan.onTimeout(vm, 100));
        assertTrue(plan.choose(mPlan, true, 0, 100) instanceof ChangeSource.RetryLater);
        assertEquals(plan.choose(mPlan, true, 0, 1_000), STORE);
    }

    /**
     * Callers get 404 for a new route for longer than 2 seconds. The store falls silent towards all
     * VMs that watch it; they turn their followers away after a second, and these must not wait for
     * another one.
     */
    @Test
    public void storeIsAskedAtOnceByThoseWhomAllSourcesTurnAway() {
        ChangeSourceSelector plan = plan(follower());
        mPlan.watchers().forEach(vm -> plan.onUnavailable(vm, 100));
        assertEquals(plan.choose(mPlan, true, 100, 100), STORE);
    }

    /** The store turns some VMs away and serves the others, which still tell what they hear. */
    @Test
    public void watcherThatTheStoreTurnsAwayFollowsAnother() {
        FleetVm watcher = mPlan.watchers().iterator().next();
        FleetVm source = ((ChangeSource.Vm) plan(watcher).choose(mPlan, false, 0, 0)).vm();
        assertNotEquals(source, watcher);
        assertTrue(mPlan.watchers().contains(source));
    }

    private static FleetVm source(ChangeSourceSelector plan, long heardMillis, long nowMillis) {
        return ((ChangeSource.Vm) plan.choose(plan(), true, heardMillis, nowMillis)).vm();
    }

    private static AddressPlan plan() {
        return new AddressPlan(fleet(), 0, 2);
    }

    private ChangeSourceSelector plan(FleetVm self) {
        return new ChangeSourceSelector(self);
    }

    private FleetVm follower() {
        Set<FleetVm> takers = mPlan.watchers();
        return mVms.stream().filter(vm -> !takers.contains(vm)).findFirst().orElseThrow();
    }

    private static List<FleetVm> fleet() {
        List<FleetVm> vms = new ArrayList<>(zone(0, 8, "region"));
        vms.addAll(zone(1, 8, "region"));
        return vms;
    }

    private static List<FleetVm> zone(int zone, int count, String region) {
        List<FleetVm> vms = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            Endpoint callers = new Endpoint("10." + zone + ".0." + number, 80);
            Endpoint peers = new Endpoint("10." + zone + ".0." + number, 81);
            String name = "vm-" + zone + "-" + number;
            vms.add(new FleetVm(name, "zone-" + zone, region, callers, peers, VmCapacity.DEFAULT));
        }
        return vms;
    }
}
