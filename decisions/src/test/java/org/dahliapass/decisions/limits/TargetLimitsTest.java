package org.dahliapass.decisions.limits;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.dahliapass.model.Endpoint;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that targets get no more requests than the limits in their responses allow. */
public final class TargetLimitsTest {
    private static final Endpoint TARGET = new Endpoint("10.0.0.1", 8_000);
    private static final int VMS = 6;
    private static final long WINDOW_MILLIS = 4_000;
    private static final long STEP_MILLIS = 10;
    private static final long VIEW_CHANGE_MILLIS = 6_000;

    /** The time in which all VMs learn of a change. */
    private static final long MAX_SKEW = 2_000;

    private static final LimitStatement LIMIT = new LimitStatement.Limited(2.6);

    private final List<TargetLimits> mVms = new ArrayList<>();

    private final Map<Integer, List<String>> mFleets = new HashMap<>();

    private static List<String> names(int count) {
        return IntStream.range(0, count).mapToObj(number -> "vm-" + number).toList();
    }

    private void createVms(int count) {
        mVms.clear();
        List<String> names = names(count);
        for (String name : names) {
            TargetLimits limits =
                    new TargetLimits(TargetLimitSharing.FEW_VMS, new SplittableRandom(mVms.size()));
            limits.setVms(() -> new LimitingVms(name, names, count, false));
            mVms.add(limits);
        }
    }

    /** Returns the requests that all VMs send if each sends whatever it may. */
    private int sendAll(long fromMillis, long toMillis) {
        int sent = 0;
        for (long now = fromMillis; now < toMillis; now += STEP_MILLIS) {
            for (TargetLimits vm : mVms) {
                if (vm.allows(TARGET, LimitMargin.TOLERATED, now)) {
                    vm.onSent(TARGET, now);
                    sent++;
                }
            }
        }
        return sent;
    }

    /** Returns whether a VM may send no second request at the same time. */
    private static boolean isLimited(TargetLimits vm, long nowMillis) {
        send(vm, nowMillis);
        return send(vm, nowMillis) == 0;
    }

    private void state(LimitStatement statement, long nowMillis) {
        mVms.forEach(vm -> vm.onResponse(TARGET, statement, nowMillis, nowMillis));
    }

    @DataProvider
    public Object[][] limits() {
        return new Object[][] {
            {6, 2.6}, {64, 2.6}, {6, 0.0}, {64, 0.0}, {1, 5.0}, {24, 40.0}, {64, 300.0}, {6, 300.0}
        };
    }

    /** Guards against VMs that each keep a limit which their sum exceeds. */
    @Test(dataProvider = "limits")
    public void sumOfAllVmsKeepsTheLimit(int vms, double limit) {
        createVms(vms);
        state(new LimitStatement.Limited(limit), 0);
        double tolerated = 1.5 * limit * WINDOW_MILLIS / 1_000 + 5;
        int sent = sendAll(0, WINDOW_MILLIS);
        assertTrue(sent <= tolerated, sent + " of " + tolerated);
        double expected = Math.floor(limit * (WINDOW_MILLIS - 1_000) / 1_000);
        assertTrue(sent >= expected, sent + " of " + expected + " that the target takes");
    }

    @DataProvider
    public Object[][] fleetChanges() {
        List<Object[]> changes = new ArrayList<>();
        for (double limit : new double[] {0, 0.7, 2.6, 20, 300}) {
            for (int[] vms : new int[][] {{6, 4}, {4, 6}, {6, 1}, {64, 24}, {24, 64}}) {
                changes.add(new Object[] {limit, vms[0], vms[1]});
            }
        }
        return changes.toArray(Object[][]::new);
    }

    /** Guards against shares that are used twice while the VMs learn of a change one by one. */
    @Test(dataProvider = "fleetChanges")
    public void sumKeepsTheLimitWhileTheFleetChanges(double limit, int before, int after) {
        createVms(Math.max(before, after));
        SplittableRandom random = new SplittableRandom(3);
        List<Long> changesMillis = new ArrayList<>();
        mVms.forEach(vm -> changesMillis.add(VIEW_CHANGE_MILLIS + random.nextLong(MAX_SKEW)));
        state(new LimitStatement.Limited(limit), 0);
        double tolerated = 1.5 * limit * WINDOW_MILLIS / 1_000 + 5;
        List<Long> sentMillis = new ArrayList<>();
        for (long now = 0; now < 3 * VIEW_CHANGE_MILLIS; now += STEP_MILLIS) {
            for (int vm = 0; vm < mVms.size(); vm++) {
                setFleet(vm, now < changesMillis.get(vm) ? before : after);
                int sent = send(mVms.get(vm), now);
                sentMillis.addAll(Collections.nCopies(sent, now));
            }
            long from = now - WINDOW_MILLIS;
            sentMillis.removeIf(sent -> sent <= from);
            assertTrue(
                    sentMillis.size() <= tolerated,
                    sentMillis.size() + " of " + tolerated + " at " + now);
            confirm(limit, now);
        }
    }

    private static int send(TargetLimits vm, long nowMillis) {
        if (!vm.allows(TARGET, LimitMargin.TOLERATED, nowMillis)) {
            return 0;
        }
        vm.onSent(TARGET, nowMillis);
        return 1;
    }

    private void setFleet(int vm, int count) {
        List<String> names = mFleets.computeIfAbsent(count, TargetLimitsTest::names);
        mVms.get(vm).setVms(() -> new LimitingVms("vm-" + vm, names, mVms.size(), false));
    }

    /** Confirms the limit at one VM, which keeps it from lapsing, and tells the others. */
    private void confirm(double limit, long nowMillis) {
        LimitReport report = new LimitReport(new LimitStatement.Limited(limit), nowMillis);
        mVms.forEach(vm -> vm.onPeerReport(TARGET, report, nowMillis));
    }

    /**
     * Guards against a target in need that gets what it merely tolerates while others have room.
     */
    @Test
    public void toleratedPartIsKeptApart() {
        createVms(1);
        state(LIMIT, 0);
        mVms.get(0).onSent(TARGET, 0);
        assertFalse(mVms.get(0).allows(TARGET, LimitMargin.NAMED, 300));
        assertTrue(mVms.get(0).allows(TARGET, LimitMargin.TOLERATED, 300));
        assertTrue(mVms.get(0).allows(TARGET, LimitMargin.NAMED, 400));
    }

    /** Guards against a VM that takes over a share before the VM that had it gives it up. */
    @Test
    public void largerShareIsUsedAfterAHandover() {
        createVms(2);
        setFleet(0, 2);
        state(new LimitStatement.Limited(2), 0);
        sendAll(0, 4_000);
        mVms.get(0).setVms(() -> new LimitingVms("vm-0", names(1), 2, false));
        int before = 0;
        for (long now = 4_000; now < 5_900; now += STEP_MILLIS) {
            before += send(mVms.get(0), now);
        }
        assertTrue(before <= 1.9 * 1.4 + 1, before + " before the end of the handover");
    }

    /** Guards against a VM that restarts and takes what it may have used before. */
    @Test
    public void restartedVmStartsWithOneToken() {
        createVms(1);
        mVms.get(0).onPeerReport(TARGET, new LimitReport(new LimitStatement.Limited(20), 0), 10);
        assertEquals(send(mVms.get(0), 10), 1);
        assertEquals(send(mVms.get(0), 10), 0);
    }

    /** Guards against a service that is out of use while all its targets name a limit at once. */
    @Test
    public void limitIsUsedFromTheMomentItIsNamed() {
        createVms(1);
        state(LIMIT, 0);
        assertTrue(mVms.get(0).allows(TARGET, LimitMargin.NAMED, 0));
    }

    /** Guards against a VM that was frozen and sends at once what it could not send meanwhile. */
    @Test
    public void frozenVmSavesNoMoreThanABurst() {
        createVms(1);
        state(new LimitStatement.Limited(20), 0);
        mVms.get(0)
                .onPeerReport(
                        TARGET, new LimitReport(new LimitStatement.Limited(20), 9_990), 10_000);
        int sent = 0;
        while (mVms.get(0).allows(TARGET, LimitMargin.TOLERATED, 10_000)) {
            mVms.get(0).onSent(TARGET, 10_000);
            sent++;
        }
        assertTrue(sent <= 0.25 * 1.5 * 20, sent + " at once");
    }

    /** Guards against a target that nobody tries, so that nobody learns of the lifted limit. */
    @Test
    public void limitOfZeroAllowsATrial() {
        createVms(VMS);
        state(new LimitStatement.Limited(0), 0);
        assertTrue(sendAll(0, 5_000) > 0);
    }

    /** Guards against VMs that all try a target at once when its limit is no longer confirmed. */
    @Test
    public void unconfirmedLimitIsTriedInTurn() {
        createVms(64);
        state(LIMIT, 0);
        long from = LimitedTarget.CONFIRMATION_MILLIS;
        for (long start = from; start < from + 200_000; start += WINDOW_MILLIS) {
            int sent = sendAll(start, start + WINDOW_MILLIS);
            assertTrue(sent <= 1.5 * 2.6 * WINDOW_MILLIS / 1_000 + 5, sent + " at " + start);
        }
    }

    @Test
    public void successWithoutLimitLiftsIt() {
        createVms(1);
        state(LIMIT, 0);
        assertTrue(isLimited(mVms.get(0), 1));
        Optional<LimitChange> change =
                mVms.get(0).onResponse(TARGET, LimitStatement.UNLIMITED, 100, 200);
        assertEquals(change, Optional.of(new LimitChange(LIMIT, LimitStatement.UNLIMITED)));
        assertFalse(isLimited(mVms.get(0), 200));
    }

    /** Guards against a slow response, created before the limit, that lifts it. */
    @Test
    public void responseToAnEarlierRequestLiftsNothing() {
        createVms(1);
        mVms.get(0).onResponse(TARGET, LIMIT, 0, 100);
        mVms.get(0).onResponse(TARGET, LimitStatement.UNLIMITED, 50, 150);
        assertTrue(isLimited(mVms.get(0), 160));
    }

    /** Guards against a slow response, created before the limit was lowered, that raises it. */
    @Test
    public void responseToAnEarlierRequestRaisesNothing() {
        createVms(1);
        mVms.get(0).onResponse(TARGET, new LimitStatement.Limited(1), 0, 100);
        mVms.get(0).onResponse(TARGET, new LimitStatement.Limited(1_000), 50, 150);
        assertEquals(sendAll(150, 1_150), 2);
    }

    @Test
    public void malformedLimitChangesNothing() {
        createVms(1);
        LimitStatement malformed = new LimitStatement.Malformed("few");
        state(malformed, 0);
        assertFalse(isLimited(mVms.get(0), 0));
        state(LIMIT, 10);
        state(malformed, 20);
        assertTrue(isLimited(mVms.get(0), 30));
    }

    /** Guards against a VM that ignores a limit until it has read it itself. */
    @Test
    public void limitReadByAnotherVmHolds() {
        createVms(VMS);
        mVms.get(0).onResponse(TARGET, LIMIT, 0, 10);
        LimitReport report = mVms.get(0).drainReports(20).get(TARGET);
        mVms.get(1).onPeerReport(TARGET, report, 30);
        assertTrue(isLimited(mVms.get(1), 30));
        mVms.get(0).onResponse(TARGET, LimitStatement.UNLIMITED, 100, 200);
        mVms.get(1).onPeerReport(TARGET, mVms.get(0).drainReports(210).get(TARGET), 220);
        assertFalse(isLimited(mVms.get(1), 220));
    }

    /** Guards against a late report that brings back a limit which was lifted since. */
    @Test
    public void olderReportChangesNothing() {
        createVms(1);
        mVms.get(0).onResponse(TARGET, LIMIT, 0, 10);
        mVms.get(0).onResponse(TARGET, LimitStatement.UNLIMITED, 100, 200);
        mVms.get(0).onPeerReport(TARGET, new LimitReport(LIMIT, 50), 210);
        assertFalse(isLimited(mVms.get(0), 210));
    }

    /** Guards against a limit that outlives its target and holds for the one that follows it. */
    @Test
    public void replacedTargetHasNoLimit() {
        createVms(1);
        state(LIMIT, 0);
        mVms.get(0).forget(Set.of(TARGET));
        assertFalse(isLimited(mVms.get(0), 1));
    }

    /** Guards against a VM that is cut off and uses a share which another VM has taken over. */
    @Test
    public void isolatedVmUsesAPartOfItsShare() {
        createVms(1);
        mVms.get(0).setVms(() -> new LimitingVms("vm-0", List.of("vm-0"), 1, true));
        mVms.get(0).onResponse(TARGET, new LimitStatement.Limited(10), 0, 0);
        assertTrue(sendAll(0, WINDOW_MILLIS) <= 0.5 * 10 * WINDOW_MILLIS / 1_000);
    }

    /** Guards against a VM that takes no callers and adds to the shares of those that do. */
    @Test
    public void vmOutsideTheGroupUsesOtherTargets() {
        createVms(VMS);
        mVms.get(0).setVms(() -> new LimitingVms("other", List.of("vm-1", "vm-2"), VMS, false));
        mVms.get(0).onResponse(TARGET, new LimitStatement.Limited(100), 0, 0);
        assertTrue(isLimited(mVms.get(0), WINDOW_MILLIS));
    }
}
