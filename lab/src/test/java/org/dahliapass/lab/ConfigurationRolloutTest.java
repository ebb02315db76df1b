package org.dahliapass.lab;

import static org.testng.Assert.assertTrue;

import org.dahliapass.decisions.configuration.AcceptOutcome;
import org.dahliapass.entry.EntryVm;
import org.dahliapass.standins.StoreFaults;
import org.dahliapass.wire.LinkFilter;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the rollout of accepted templates to VMs, with and without the store. */
public final class ConfigurationRolloutTest {
    private static final String TEMPLATE = "/operations/templates/himal";

    private TestFleet mFleet;

    @BeforeMethod
    public void startFleet() {
        mFleet = TestFleet.start(2, 7);
    }

    @AfterMethod
    public void stopFleet() {
        mFleet.close();
    }

    private long templateNumber(EntryVm vm) {
        String body = TestFleet.get(vm.operatorEndpoint(), TEMPLATE).contentUtf8();
        int start = body.indexOf("\"number\":");
        return start < 0 ? -1 : Long.parseLong(body.substring(start + 9).split("[,}]", -1)[0]);
    }

    private long vmsWithTemplate(long number) {
        return mFleet.vms().stream().filter(vm -> templateNumber(vm) == number).count();
    }

    // Guards against one of two concurrent changes overwriting the other.
    @Test
    public void acceptedChangeReachesTheCellAndConcurrentChangeConflicts() {
        AcceptOutcome first = mFleet.accept(mFleet.template("29s"), 1);
        assertTrue(first instanceof AcceptOutcome.Accepted, first.toString());
        AcceptOutcome second = mFleet.accept(mFleet.template("28s"), 1);
        assertTrue(second instanceof AcceptOutcome.Conflict, second.toString());
        mFleet.await("six VMs hold change 2", () -> vmsWithTemplate(2) == 6);
    }

    // Guards against a new VM that can't serve while the store is unavailable.
    @Test
    public void replacementVmLoadsTemplateFromPeersDuringStoreOutage() {
        mFleet.accept(mFleet.template("29s"), 1);
        mFleet.await("six VMs hold change 2", () -> vmsWithTemplate(2) == 6);
        mFleet.store().setFaults(new StoreFaults(true, false, 0, 0));
        EntryVm replacement = mFleet.startVm(8, LinkFilter.ALLOW_ALL);
        EntryVm replaced = mFleet.vms().remove(0);
        replaced.stopNow().join();
        mFleet.await("the new VM serves", () -> TestFleet.serves(replacement));
        mFleet.await("six VMs hold change 2", () -> vmsWithTemplate(2) == 6);
    }

    // Guards against an unknown outcome when the response to a successful write is lost.
    @Test
    public void lostWriteResponseIsResolvedToAccepted() {
        mFleet.store().setFaults(new StoreFaults(false, false, 0, 3));
        AcceptOutcome outcome = mFleet.accept(mFleet.template("27s"), 1);
        assertTrue(outcome instanceof AcceptOutcome.Accepted, outcome.toString());
        mFleet.await("six VMs hold change 2", () -> vmsWithTemplate(2) == 6);
    }

    // Guards against pending watches using up the store's call limit.
    @Test
    public void onlyTwoVmsPerZoneWatchTheStore() {
        mFleet.accept(mFleet.template("29s"), 1);
        mFleet.await("six VMs hold change 2", () -> vmsWithTemplate(2) == 6);
        mFleet.await("six watches wait", () -> mFleet.store().pendingWatchCount() == 6);
        assertTrue(mFleet.store().pendingWatchCount() <= 6);
    }
}
