package org.dahliapass.lab;

import static org.testng.Assert.assertTrue;

import org.dahliapass.decisions.configuration.AcceptOutcome;
import org.dahliapass.entry.EntryVm;
import org.dahliapass.standins.StoreFaults;
import org.dahliapass.wire.LinkFilter;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks how accepted changes come into force on real VMs, with the store there and away. */
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

    private long numberAt(EntryVm vm) {
        String body = TestFleet.get(vm.operatorEndpoint(), TEMPLATE).contentUtf8();
        int start = body.indexOf("\"number\":");
        return start < 0 ? -1 : Long.parseLong(body.substring(start + 9).split("[,}]", -1)[0]);
    }

    private long membersWith(long number) {
        return mFleet.vms().stream().filter(vm -> numberAt(vm) == number).count();
    }

    // Two operators change the same template. The first wins and comes into force on the whole cell
    // of six; the second, who started from the same revision, is told so and changes nothing.
    @Test
    public void acceptedIsInForceOnTheCellAndTheLoserOfARaceIsTold() {
        AcceptOutcome first = mFleet.accept(mFleet.template("29s"), 1);
        assertTrue(first instanceof AcceptOutcome.Accepted, first.toString());
        AcceptOutcome second = mFleet.accept(mFleet.template("28s"), 1);
        assertTrue(second instanceof AcceptOutcome.Conflict, second.toString());
        mFleet.await("six VMs hold change 2", () -> membersWith(2) == 6);
    }

    // The store goes away for the rest of the day. A VM is replaced meanwhile: the new one fills
    // itself from the cell, and serves the newest revision.
    @Test
    public void replacedVmFillsFromPeersWhileTheStoreIsAway() {
        mFleet.accept(mFleet.template("29s"), 1);
        mFleet.await("six VMs hold change 2", () -> membersWith(2) == 6);
        mFleet.store().setFaults(new StoreFaults(true, false, 0, 0));
        EntryVm fresh = mFleet.startVm(8, LinkFilter.ALLOW_ALL);
        EntryVm gone = mFleet.vms().remove(0);
        gone.stopNow().join();
        mFleet.await("the new VM serves", () -> TestFleet.serves(fresh));
        mFleet.await("six VMs hold change 2", () -> membersWith(2) == 6);
    }

    // An operator's answer is lost after the write took effect. The accept still ends in a plain
    // yes, because the command reads back its own operation id.
    @Test
    public void lostAnswerIsResolvedToYes() {
        mFleet.store().setFaults(new StoreFaults(false, false, 0, 3));
        AcceptOutcome outcome = mFleet.accept(mFleet.template("27s"), 1);
        assertTrue(outcome instanceof AcceptOutcome.Accepted, outcome.toString());
        mFleet.await("six VMs hold change 2", () -> membersWith(2) == 6);
    }

    // Seven VMs in three zones: a waiting watch counts as a call, so only two VMs of each zone may
    // hold one, however many VMs there are.
    @Test
    public void onlyTwoVmsOfAZoneWatchTheStore() {
        mFleet.accept(mFleet.template("29s"), 1);
        mFleet.await("six VMs hold change 2", () -> membersWith(2) == 6);
        mFleet.await("six watches wait", () -> mFleet.store().pendingWatchCount() == 6);
        assertTrue(mFleet.store().pendingWatchCount() <= 6);
    }
}
