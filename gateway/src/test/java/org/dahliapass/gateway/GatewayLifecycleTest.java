package org.dahliapass.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.dahliapass.platform.DiscoveryCalls;
import org.dahliapass.platform.StoreCalls;
import org.dahliapass.standins.CallerStandIn;
import org.dahliapass.standins.GatewaySample;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of what a gateway VM does while targets, the store or it itself come and go. */
public final class GatewayLifecycleTest {
    private GatewayFixture mPath;

    @BeforeMethod
    public void start() {
        mPath = new GatewayFixture();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        mPath.close();
    }

    /** A lock sent to a target that is leaving may be lost with it. */
    @Test
    public void drainingTargetGetsNothingNew() {
        mPath.mStore.put(
                mPath.mTargets.get(0).key(), mPath.mTargets.get(0).registration("x", "draining"));
        GatewayFixture.await(
                () -> {
                    int before = mPath.mTargets.get(0).seen().size();
                    for (int number = 0; number < 10; number++) {
                        mPath.get("/r/after");
                    }
                    return mPath.mTargets.get(0).seen().size() == before;
                });
        assertEquals(CallerStandIn.status(mPath.get("/r/other")), 200);
    }

    /**
     * Locks would be refused at a VM until somebody sends it a read. The targets come after the VM
     * and begin with a slow start, in which they take no locks; it has to end without any work.
     */
    @Test
    public void slowStartOfTargetsEndsWithoutWork() {
        try (GatewayFixture path = GatewayFixture.withoutTargets()) {
            path.registerTargets();
            GatewayFixture.await(() -> CallerStandIn.status(path.post("/l/first", "body")) == 200);
        }
    }

    @Test
    public void newConfigurationIsInForceAndAnOlderOneIsIgnored() {
        mPath.mStore.put("op/config", GatewaySample.configuration(5, "/new/"));
        GatewayFixture.await(() -> CallerStandIn.status(mPath.get("/new/1")) == 200);
        assertEquals(CallerStandIn.status(mPath.get("/r/1")), 404);
        mPath.mStore.put("op/config", GatewaySample.configuration(4, "/r/"));
        mPath.mStore.put("op/config", GatewaySample.configuration(6, "/newest/"));
        GatewayFixture.await(() -> CallerStandIn.status(mPath.get("/newest/1")) == 200);
        assertEquals(CallerStandIn.status(mPath.get("/r/1")), 404);
    }

    /** Callers would get 404 for hours if a broken document took the place of a good one. */
    @Test
    public void brokenConfigurationLeavesTheLastOneInForce() {
        mPath.mStore.put("op/config", "{\"version\":9,\"routes\":");
        mPath.mStore.put(
                mPath.mTargets.get(0).key(), mPath.mTargets.get(0).registration("x", "draining"));
        GatewayFixture.await(() -> CallerStandIn.status(mPath.get("/r/1")) == 200);
    }

    @Test
    public void requestsAreServedWhileTheStoreIsAway() {
        mPath.mStore.setAway(true);
        for (int number = 0; number < 20; number++) {
            assertEquals(CallerStandIn.status(mPath.get("/r/away" + number)), 200);
        }
        mPath.mStore.setAway(false);
        mPath.mStore.put("op/config", GatewaySample.configuration(5, "/back/"));
        GatewayFixture.await(() -> CallerStandIn.status(mPath.get("/back/1")) == 200);
    }

    @Test
    public void changesAfterALostHistoryAreFound() {
        mPath.mStore.setAway(true);
        mPath.mStore.put("op/config", GatewaySample.configuration(5, "/lost/"));
        mPath.mStore.forgetHistory();
        mPath.mStore.setAway(false);
        GatewayFixture.await(() -> CallerStandIn.status(mPath.get("/lost/1")) == 200);
    }

    /**
     * A caller would be cut off by a planned stop. After SIGTERM the VM is no longer ready, its
     * entry is gone, and yet a request that comes at that moment gets its answer.
     */
    @Test
    public void vmThatLeavesIsNotReadyAndServesWhatComes() {
        GatewayFixture.await(() -> mPath.mStore.keys("dahliapass/vms/").size() == 1);
        CompletableFuture<Void> drained = mPath.mVm.drain();
        assertEquals(CallerStandIn.status(mPath.get("/r/leaving")), 200);
        String readiness =
                CallerStandIn.read(mPath.mSettings.readiness(), DiscoveryCalls.READINESS_PATH);
        assertEquals(CallerStandIn.status(readiness), 503);
        GatewayFixture.await(() -> mPath.mStore.keys("dahliapass/vms/").equals(List.of()));
        drained.join();
    }

    @Test
    public void asksNameThisVm() {
        GatewayFixture.await(
                () ->
                        CallerStandIn.read(
                                        mPath.mSettings.discovery(),
                                        DiscoveryCalls.DISCOVERY_PATH
                                                + "?name=a.example&region=r&zone=zone-a")
                                .contains(mPath.mSettings.self().callerEndpoint().toString()));
    }

    /** Other VMs follow this one's copy instead of asking the store themselves. */
    @Test
    public void copyOfTheStoreIsOffered() {
        String copy =
                CallerStandIn.read(
                        mPath.mSettings.self().peerEndpoint(), StoreCalls.RANGE_PATH + "?prefix=");
        assertTrue(copy.contains("op/config"), copy);
        assertTrue(copy.contains("servers/i-1"), copy);
    }

    /** The store's operators pay for each call, and must see which kind of call grows. */
    @Test
    public void callsToTheStoreAreCountedByKind() {
        GatewayFixture.await(
                () ->
                        CallerStandIn.read(mPath.mSettings.self().peerEndpoint(), "/metrics")
                                .contains("dahliapass_store_calls_total{call=\"watch\"}"));
    }

    /**
     * Callers of a new route are told for good that there is none. The VM hears nothing from the
     * store, so its newest version is old; on a fleet whose VMs were all short of processor, 772
     * proper requests ended 404 within seconds of the acknowledgement of the route.
     */
    @Test
    public void routeIsNotDeniedByAVmWithoutNews() {
        try (GatewayFixture path = new GatewayFixture()) {
            assertEquals(CallerStandIn.status(path.get("/new/")), 404);
            path.mStore.setAway(true);
            GatewayFixture.await(() -> CallerStandIn.status(path.get("/new/")) == 503);
            path.mStore.setAway(false);
            GatewayFixture.await(() -> CallerStandIn.status(path.get("/new/")) == 404);
        }
    }
}
