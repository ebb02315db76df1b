package org.dahliapass.decisions.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.routing.FleetVm;
import org.dahliapass.model.routing.VmCapacity;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link ChangeSourceSelector} with watchers that freeze, in simulated time. */
public final class FrozenWatchersTest {
    private static final int VMS = 28;
    private static final int SEEDS = 200;
    private static final long END_MILLIS = 60_000;

    /** The time in which changes must be in force. */
    private static final long APPLY_MILLIS = 2_000;

    /** The delay with which a watcher reads a series of changes. */
    private static final long BATCH_MILLIS = 300;

    private static final long RESPONSE_MILLIS = 20;
    private static final long RESPONSE_TIMEOUT_MILLIS = 400;
    private static final long STORE_WATCH_MILLIS = 400;

    /** A lease that isn't renewed ends after this time, and a new plan is in force. */
    private static final long LEASE_MILLIS = 4_000;

    private final List<FleetVm> mVms = fleet();
    private final FleetVm mFollower = leastPreferred();
    private final Map<List<FleetVm>, AddressPlan> mPlans = new HashMap<>();

    /** When a VM is frozen, in milliseconds. */
    private record Freeze(long fromMillis, long untilMillis) {
        boolean includes(long millis) {
            return millis >= fromMillis && millis < untilMillis;
        }
    }

    @DataProvider
    public Object[][] frozenShares() {
        return new Object[][] {{0.05}, {0.11}, {0.3}, {0.6}, {0.96}};
    }

    /** Guards against waits for one frozen watcher after the other that exceed the limit. */
    @Test(dataProvider = "frozenShares")
    public void newestChangeIsReadInTimeWhicheverWatchersFreeze(double share) {
        for (long seed = 0; seed < SEEDS; seed++) {
            Follower follower = new Follower(freezes(share, new SplittableRandom(seed)));
            follower.run();
            assertTrue(
                    follower.mMaxUnconfirmedMillis + BATCH_MILLIS < APPLY_MILLIS,
                    "seed " + seed + ": " + follower.mMaxUnconfirmedMillis + " ms");
        }
    }

    /** Guards against a store that is called by all followers when one watcher freezes. */
    @Test
    public void storeIsNotAskedWhileOneWatcherIsFrozen() {
        for (FleetVm frozen : new AddressPlan(mVms, 0, 2).watchers()) {
            Follower follower =
                    new Follower(Map.of(frozen.name(), List.of(new Freeze(0, END_MILLIS))));
            follower.run();
            assertEquals(follower.mStoreCalls, 0);
        }
    }

    /** Returns overlapping freezes of all lengths and in all phases. */
    private Map<String, List<Freeze>> freezes(double share, SplittableRandom random) {
        Map<String, List<Freeze>> freezes = new HashMap<>();
        for (FleetVm vm : mVms) {
            List<Freeze> own = new ArrayList<>();
            long millis = random.nextLong(10_000);
            while (millis < END_MILLIS) {
                if (random.nextDouble() < share) {
                    own.add(new Freeze(millis, millis + 200 + random.nextLong(6_000)));
                }
                millis += 6_500 + random.nextLong(3_000);
            }
            freezes.put(vm.name(), own);
        }
        return freezes;
    }

    /** A VM that isn't a watcher unless all others are gone, and is never disturbed itself. */
    private final class Follower {
        private final Map<String, List<Freeze>> mFreezes;
        private final ChangeSourceSelector mSelector = new ChangeSourceSelector(mFollower);
        private long mNow;
        private long mConfirmedMillis;
        private long mMaxUnconfirmedMillis;
        private int mStoreCalls;

        Follower(Map<String, List<Freeze>> freezes) {
            mFreezes = freezes;
        }

        void run() {
            while (mNow < END_MILLIS) {
                ChangeSource source =
                        mSelector.choose(plan(), StoreState.RESPONDING, mConfirmedMillis, mNow);
                if (source instanceof ChangeSource.Vm peer) {
                    watch(peer);
                } else if (source instanceof ChangeSource.RetryLater retryLater) {
                    mNow += retryLater.delayMillis();
                } else {
                    mStoreCalls++;
                    confirm(mNow + RESPONSE_MILLIS);
                    confirm(mNow + STORE_WATCH_MILLIS);
                }
            }
        }

        private void watch(ChangeSource.Vm source) {
            long endMillis = mNow + source.watchMillis() + RESPONSE_MILLIS;
            if (!isFrozen(source.vm(), endMillis)) {
                confirm(endMillis);
                return;
            }
            long timeoutMillis = mNow + source.watchMillis() + RESPONSE_TIMEOUT_MILLIS;
            long deadlineMillis = mSelector.storeDeadlineMillis(mConfirmedMillis);
            mNow = Math.min(timeoutMillis, Math.max(mNow, deadlineMillis));
            mSelector.onTimeout(source.vm(), mNow);
        }

        private void confirm(long millis) {
            mMaxUnconfirmedMillis = Math.max(mMaxUnconfirmedMillis, millis - mConfirmedMillis);
            mConfirmedMillis = millis;
            mNow = millis;
        }

        private AddressPlan plan() {
            List<FleetVm> live =
                    mVms.stream().filter(vm -> !isFrozen(vm, mNow - LEASE_MILLIS)).toList();
            return mPlans.computeIfAbsent(live, vms -> new AddressPlan(vms, 0, 2));
        }

        private boolean isFrozen(FleetVm vm, long millis) {
            return !vm.equals(mFollower)
                    && mFreezes.getOrDefault(vm.name(), List.of()).stream()
                            .anyMatch(freeze -> freeze.includes(millis));
        }
    }

    /** Returns the VM that becomes a watcher last, which follows others as long as it can. */
    private FleetVm leastPreferred() {
        List<FleetVm> remaining = new ArrayList<>(mVms);
        while (remaining.size() > 1) {
            remaining.removeAll(
                    new AddressPlan(remaining, 0, 2)
                            .watchers().stream().limit(remaining.size() - 1).toList());
        }
        return remaining.get(0);
    }

    private static List<FleetVm> fleet() {
        List<FleetVm> vms = new ArrayList<>();
        for (int number = 0; number < VMS; number++) {
            Endpoint callers = new Endpoint("10.0.0." + number, 80);
            Endpoint peers = new Endpoint("10.0.0." + number, 81);
            vms.add(
                    new FleetVm(
                            "vm-" + number,
                            "zone-" + number % 3,
                            "region",
                            callers,
                            peers,
                            VmCapacity.DEFAULT));
        }
        return vms;
    }
}
