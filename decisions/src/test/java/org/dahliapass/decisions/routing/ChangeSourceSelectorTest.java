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
    private final AddressPlan mAddressPlan = new AddressPlan(mVms, 0, 2);

    @Test
    public void onlyWatchersReadFromTheStore() {
        long storeReaders =
                mVms.stream()
                        .filter(
                                vm ->
                                        selector(vm)
                                                .choose(mAddressPlan, StoreState.RESPONDING, 0, 0)
                                                .equals(STORE))
                        .count();
        assertEquals(storeReaders, 3);
    }

    /** A lost zone must leave a watcher, and the store load must not grow with the zones. */
    @Test
    public void watchersCoverZonesAndTheirNumberIsFixed() {
        Set<String> zones =
                mAddressPlan.watchers().stream()
                        .map(FleetVm::availabilityZone)
                        .collect(Collectors.toSet());
        assertEquals(zones, Set.of("zone-0", "zone-1"));
        List<FleetVm> many = new ArrayList<>();
        for (int zone = 0; zone < 9; zone++) {
            many.addAll(zone(zone, 3, "region"));
        }
        assertEquals(new AddressPlan(many, 0, 2).watchers().size(), 3);
    }

    /** Regions may be partitioned from each other for minutes. */
    @Test
    public void eachRegionHasItsOwnWatchers() {
        List<FleetVm> vms = new ArrayList<>(zone(0, 5, "east"));
        vms.addAll(zone(1, 2, "west"));
        Set<FleetVm> watchers = new AddressPlan(vms, 0, 2).watchers();
        assertEquals(watchers.stream().filter(vm -> vm.region().equals("east")).count(), 3);
        assertEquals(watchers.stream().filter(vm -> vm.region().equals("west")).count(), 2);
    }

    @Test
    public void followerUsesAWatcherOfItsZone() {
        FleetVm follower = follower();
        FleetVm source = source(selector(follower), 0, 0);
        assertEquals(source.availabilityZone(), follower.availabilityZone());
        assertTrue(mAddressPlan.watchers().contains(source));
    }

    @Test
    public void sourceThatTimedOutIsSkippedForThreeSeconds() {
        ChangeSourceSelector selector = selector(follower());
        FleetVm first = source(selector, 0, 0);
        selector.onTimeout(first, 0);
        assertNotEquals(source(selector, 2_999, 2_999), first);
        assertEquals(source(selector, 3_000, 3_000), first);
    }

    @Test
    public void sourceThatRefusedTheConnectionIsSkippedForOneSecond() {
        ChangeSourceSelector selector = selector(follower());
        FleetVm first = source(selector, 0, 0);
        selector.onConnectionFailure(first, 0);
        assertNotEquals(source(selector, 0, 999), first);
        assertEquals(source(selector, 0, 1_000), first);
    }

    /** Guards against stale routes after all watchers are lost at once. */
    @Test
    public void followerFallsBackToTheStoreAfterASecondWithoutASource() {
        ChangeSourceSelector selector = selector(follower());
        mAddressPlan.watchers().forEach(vm -> selector.onTimeout(vm, 100));
        assertTrue(
                selector.choose(mAddressPlan, StoreState.RESPONDING, 0, 100)
                        instanceof ChangeSource.RetryLater);
        assertEquals(selector.choose(mAddressPlan, StoreState.RESPONDING, 0, 1_000), STORE);
    }

    /**
     * Guards against routes that are stale for over 2 seconds after all watchers lose the store.
     */
    @Test
    public void followerFallsBackToTheStoreAtOnceIfAllWatchersAreUnavailable() {
        ChangeSourceSelector selector = selector(follower());
        mAddressPlan.watchers().forEach(vm -> selector.onUnavailable(vm, 100));
        assertEquals(selector.choose(mAddressPlan, StoreState.RESPONDING, 100, 100), STORE);
    }

    /** Guards against a follower that tries further watchers while a change takes effect. */
    @Test
    public void storeIsAskedOnceTheStateIsUnconfirmedForTooLong() {
        ChangeSourceSelector selector = selector(follower());
        assertEquals(selector.storeDeadlineMillis(100), 1_600);
        assertTrue(
                selector.choose(mAddressPlan, StoreState.RESPONDING, 100, 1_599)
                        instanceof ChangeSource.Vm);
        assertEquals(selector.choose(mAddressPlan, StoreState.RESPONDING, 100, 1_600), STORE);
    }

    /** A VM that is cut off from the store still receives changes through a watcher. */
    @Test
    public void watcherIsAskedInPlaceOfAStoreThatDoesNotRespond() {
        ChangeSourceSelector selector = selector(follower());
        assertTrue(
                selector.choose(mAddressPlan, StoreState.UNAVAILABLE, 100, 9_000)
                        instanceof ChangeSource.Vm);
    }

    /** Guards against one call to the store that failed and is repeated only after all watchers. */
    @Test
    public void overdueVmCallsTheStoreAgainAfterAFailure() {
        ChangeSourceSelector selector = selector(follower());
        assertTrue(
                selector.choose(mAddressPlan, StoreState.RETRIABLE, 100, 1_599)
                        instanceof ChangeSource.Vm);
        assertEquals(selector.choose(mAddressPlan, StoreState.RETRIABLE, 100, 1_600), STORE);
    }

    /** Guards against a VM that waits for a busy store while a watcher has the changes. */
    @Test
    public void overdueVmAsksAWatcherWhileItMayNotCallTheStore() {
        ChangeSourceSelector selector = selector(follower());
        assertTrue(
                selector.choose(mAddressPlan, StoreState.PAUSED, 100, 9_000)
                        instanceof ChangeSource.Vm);
    }

    /** Guards against a second source that confirms the state only after another long watch. */
    @Test
    public void watchIsShorterTheLongerTheStateIsUnconfirmed() {
        ChangeSourceSelector selector = selector(follower());
        assertEquals(watchMillis(selector, 5_000, 5_000), 900);
        assertEquals(watchMillis(selector, 5_000, 5_300), 600);
        assertEquals(watchMillis(selector, 5_000, 6_300), 0);
    }

    /** Guards against a watcher that confirmed an old state before it noticed its loss. */
    @Test
    public void confirmationsOfAWatcherThatLostTheStoreDoNotCount() {
        ChangeSourceSelector selector = selector(follower());
        selector.onUnavailable(source(selector, 5_000, 5_000), 5_000);
        assertEquals(watchMillis(selector, 4_990, 5_000), 0);
        assertEquals(selector.storeDeadlineMillis(4_990), 5_300);
        assertEquals(selector.storeDeadlineMillis(5_001), 6_501);
    }

    private long watchMillis(ChangeSourceSelector selector, long receivedMillis, long nowMillis) {
        return ((ChangeSource.Vm)
                        selector.choose(
                                mAddressPlan, StoreState.RESPONDING, receivedMillis, nowMillis))
                .watchMillis();
    }

    /** The store may reject the calls of some VMs and serve others. */
    @Test
    public void watcherRejectedByTheStoreFollowsAnotherWatcher() {
        FleetVm watcher = mAddressPlan.watchers().iterator().next();
        FleetVm source =
                ((ChangeSource.Vm)
                                selector(watcher)
                                        .choose(mAddressPlan, StoreState.UNAVAILABLE, 0, 0))
                        .vm();
        assertNotEquals(source, watcher);
        assertTrue(mAddressPlan.watchers().contains(source));
    }

    private static FleetVm source(
            ChangeSourceSelector selector, long lastReceivedMillis, long nowMillis) {
        return ((ChangeSource.Vm)
                        selector.choose(
                                addressPlan(),
                                StoreState.RESPONDING,
                                lastReceivedMillis,
                                nowMillis))
                .vm();
    }

    private static AddressPlan addressPlan() {
        return new AddressPlan(fleet(), 0, 2);
    }

    private ChangeSourceSelector selector(FleetVm self) {
        return new ChangeSourceSelector(self);
    }

    /** Guards against a fleet that reads the whole store at once after a restore. */
    @Test
    public void restoreIsReadThroughAWatcher() {
        ChangeSourceSelector selector = selector(follower());
        mAddressPlan.watchers().forEach(watcher -> selector.onUnavailable(watcher, 10_000));
        assertEquals(selector.choose(mAddressPlan, StoreState.RESPONDING, 0, 10_100), STORE);
        selector.onStoreRestored(12_000);
        assertTrue(
                selector.choose(mAddressPlan, StoreState.RESPONDING, 0, 10_100)
                        instanceof ChangeSource.Vm);
        mAddressPlan.watchers().forEach(watcher -> selector.onUnavailable(watcher, 11_900));
        assertTrue(
                selector.choose(mAddressPlan, StoreState.RESPONDING, 0, 11_950)
                        instanceof ChangeSource.RetryLater);
        assertEquals(selector.choose(mAddressPlan, StoreState.RESPONDING, 0, 12_000), STORE);
    }

    private FleetVm follower() {
        Set<FleetVm> watchers = mAddressPlan.watchers();
        return mVms.stream().filter(vm -> !watchers.contains(vm)).findFirst().orElseThrow();
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
