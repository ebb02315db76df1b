package org.dahliapass.lab;

import static org.testng.Assert.assertEquals;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import java.util.List;
import org.dahliapass.entry.EntryVm;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks what a cut between two VMs does that lets messages pass one way only. */
public final class AsymmetricPartitionTest {
    private static final String SIGN_OFF = "/services/himal/desk/sign-offs/7";

    /** Enough lost pings and answers for several suspicions to run out in a fleet of three. */
    private static final int LOST_MESSAGES = 40;

    private TestFleet mFleet;

    @BeforeClass
    public void startFleet() {
        mFleet = TestFleet.start(3, 3);
    }

    @AfterMethod
    public void mendLinks() {
        mFleet.healLinks();
    }

    @AfterClass
    public void stopFleet() {
        mFleet.close();
    }

    // One VM's messages to another are lost while those of the other way pass. Each of the two
    // misses answers of the other, but the third VM hears both and vouches for them, so nobody is
    // taken for dead however long it lasts.
    @Test
    public void nobodyIsDeclaredDead() {
        EntryVm from = mFleet.vms().get(0);
        mFleet.cutOneWay(from, mFleet.vms().get(1));
        mFleet.await(
                "messages are lost for a while",
                () -> {
                    assertNobodyDead();
                    return mFleet.lostMessages(from) >= LOST_MESSAGES;
                });
        mFleet.healLinks();
        mFleet.awaitServing();
    }

    /** The list names no dead VM, so it is short by one if somebody was taken for dead. */
    private void assertNobodyDead() {
        for (EntryVm vm : mFleet.vms()) {
            List<String> states = HttpCalls.memberStates(vm.operatorEndpoint());
            assertEquals(states.size(), mFleet.vms().size(), states.toString());
        }
    }

    /** The ways in which home and witness may lose each other, each pair in turn. */
    @DataProvider
    public Object[][] cuts() {
        return new Object[][] {{0, 1, true}, {0, 1, false}, {0, 2, true}, {0, 2, false}};
    }

    // A senior signs off through a VM that can't reach the key's witness, or doesn't hear its
    // answers. Nothing is sent to a target, and the senior is told "not run" with a fresh token.
    // The sign-off under that token runs, once, although the cut lasts.
    @Test(dataProvider = "cuts")
    public void operationWithUnreachableWitnessIsNotRun(
            int homeIndex, int witnessIndex, boolean lostAtHome) {
        EntryVm home = mFleet.vms().get(homeIndex);
        EntryVm witness = mFleet.vms().get(witnessIndex);
        String part = "cut-" + homeIndex + witnessIndex + lostAtHome;
        String key = mFleet.token(home, witness) + "." + part;
        mFleet.cutOneWay(lostAtHome ? home : witness, lostAtHome ? witness : home);

        AggregatedHttpResponse refused = TestFleet.post(home.callerEndpoint(), SIGN_OFF, key);
        assertEquals(refused.headers().get("x-outcome"), "not-run", refused.contentUtf8());
        assertEquals(mFleet.platform().runs(key), 0);

        String fresh = refused.headers().get("x-operation-token") + "." + part;
        AggregatedHttpResponse repeated = TestFleet.post(home.callerEndpoint(), SIGN_OFF, fresh);
        assertEquals(repeated.status().code(), 200, fresh + ": " + repeated.contentUtf8());
        assertEquals(mFleet.platform().runs(fresh), 1);
        assertEquals(mFleet.platform().runs(key), 0);
    }
}
