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

/** Tests one-way link failures between two VMs. */
public final class AsymmetricPartitionTest {
    private static final String SIGN_OFF = "/services/himal/desk/sign-offs/7";

    /** Enough lost pings and acks for several suspicion timeouts in a fleet of three. */
    private static final int LOST_MESSAGES = 40;

    private TestFleet mFleet;

    @BeforeClass
    public void startFleet() {
        mFleet = TestFleet.start(3, 3);
    }

    @AfterMethod
    public void healLinks() {
        mFleet.healLinks();
    }

    @AfterClass
    public void stopFleet() {
        mFleet.close();
    }

    // Guards against false failure detection while a third VM still reaches both sides.
    @Test
    public void noVmIsDeclaredDead() {
        EntryVm from = mFleet.vms().get(0);
        mFleet.cutOneWay(from, mFleet.vms().get(1));
        mFleet.await(
                "messages are lost for a while",
                () -> {
                    assertAllMembersListed();
                    return mFleet.lostMessages(from) >= LOST_MESSAGES;
                });
        mFleet.healLinks();
        mFleet.awaitServing();
    }

    /** The membership list omits dead VMs. */
    private void assertAllMembersListed() {
        for (EntryVm vm : mFleet.vms()) {
            List<String> states = HttpCalls.memberStates(vm.operatorEndpoint());
            assertEquals(states.size(), mFleet.vms().size(), states.toString());
        }
    }

    /** Home, witness and whether the messages from home are the lost ones. */
    @DataProvider
    public Object[][] partitions() {
        return new Object[][] {{0, 1, true}, {0, 1, false}, {0, 2, true}, {0, 2, false}};
    }

    // Guards against running an operation without its witness; the fresh token must work.
    @Test(dataProvider = "partitions")
    public void operationWithUnreachableWitnessIsNotRun(
            int homeIndex, int witnessIndex, boolean fromHome) {
        EntryVm home = mFleet.vms().get(homeIndex);
        EntryVm witness = mFleet.vms().get(witnessIndex);
        String suffix = "cut-" + homeIndex + witnessIndex + fromHome;
        String key = mFleet.token(home, witness) + "." + suffix;
        mFleet.cutOneWay(fromHome ? home : witness, fromHome ? witness : home);

        AggregatedHttpResponse refusal = TestFleet.post(home.callerEndpoint(), SIGN_OFF, key);
        assertEquals(refusal.headers().get("x-outcome"), "not-run", refusal.contentUtf8());
        assertEquals(mFleet.platform().runs(key), 0);

        String freshKey = refusal.headers().get("x-operation-token") + "." + suffix;
        AggregatedHttpResponse repeated = TestFleet.post(home.callerEndpoint(), SIGN_OFF, freshKey);
        assertEquals(repeated.status().code(), 200, freshKey + ": " + repeated.contentUtf8());
        assertEquals(mFleet.platform().runs(freshKey), 1);
        assertEquals(mFleet.platform().runs(key), 0);
    }
}
