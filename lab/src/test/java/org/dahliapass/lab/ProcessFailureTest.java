package org.dahliapass.lab;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.dahliapass.standins.TargetFaults;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests guarded operations and graceful shutdown with killed, frozen and terminated VMs. */
public final class ProcessFailureTest {
    private static final String SIGN_OFF = "/services/himal/desk/sign-offs/7";
    private static final TargetFaults STALL =
            new TargetFaults(0, false, 1, true, false, false, null, 0, false);
    private static final TargetFaults SLOW =
            new TargetFaults(0, false, 1000, false, false, false, null, 0, false);
    private static final long RESPONSE_BYTES = 64L * 1024 * 1024;
    private static final int SIGTERM_EXIT_CODE = 143;

    private ProcessFleet mFleet;
    private VmProcess mHome;
    private VmProcess mWitness;
    private VmProcess mThird;

    @BeforeClass
    public void startPlatform() {
        mFleet = ProcessFleet.start();
    }

    @BeforeMethod
    public void startMissingVms() {
        mFleet.startMissing();
        mHome = mFleet.vm(1);
        mWitness = mFleet.vm(2);
        mThird = mFleet.vm(3);
    }

    @AfterMethod
    public void restore() {
        mFleet.platform().setFaults(TargetFaults.NONE);
        if (mHome.isAlive()) {
            mHome.resume();
        }
    }

    @AfterClass
    public void stopFleet() {
        mFleet.close();
    }

    private int runs(String key) {
        return mFleet.platform().runs(key);
    }

    private void awaitStarted(String key) {
        mFleet.platform().await("the operation has started", () -> runs(key) == 1);
    }

    private static String outcomeOfPost(VmProcess vm, String key) {
        return HttpCalls.post(vm.callers(), SIGN_OFF, key).join().headers().get("x-outcome");
    }

    // Guards against a second run or a false "not run" after the home VM dies in flight.
    @Test
    public void operationInFlightAtKilledHomeIsUnknownAndRunsOnce() {
        String key = mFleet.key(mHome, mWitness, "killed-in-flight");
        mFleet.platform().setFaults(STALL);
        CompletableFuture<AggregatedHttpResponse> inFlight =
                HttpCalls.post(mHome.callers(), SIGN_OFF, key);
        awaitStarted(key);
        mHome.kill();
        assertTrue(inFlight.handle((response, failure) -> failure != null).join());

        mFleet.platform()
                .await(
                        "the failure is detected",
                        () -> {
                            assertEquals(HttpCalls.outcome(mThird.callers(), key), "unknown");
                            return HttpCalls.memberStates(mThird.operators()).size() == 2;
                        });
        assertEquals(HttpCalls.outcome(mThird.callers(), key), "unknown");
        assertEquals(HttpCalls.outcome(mWitness.callers(), key), "unknown");
        assertEquals(outcomeOfPost(mThird, key), "unknown");
        assertEquals(runs(key), 1);
    }

    // Guards against running an operation after its outcome was reported as not run.
    @Test
    public void operationArrivingAfterHomeIsKilledIsNotRun() {
        String key = mFleet.key(mHome, mWitness, "killed-before");
        mHome.kill();
        assertEquals(HttpCalls.outcome(mThird.callers(), key), "not-run");
        assertEquals(outcomeOfPost(mThird, key), "not-run");
        assertEquals(outcomeOfPost(mWitness, key), "not-run");
        mFleet.startMissing();
        assertEquals(outcomeOfPost(mFleet.vm(1), key), "not-run");
        assertEquals(HttpCalls.outcome(mThird.callers(), key), "not-run");
        assertEquals(runs(key), 0);
    }

    // Guards against a resumed VM running a buffered request that was reported as not run.
    @Test
    public void resumedHomeRefusesOperationReportedAsNotRun() {
        String key = mFleet.key(mHome, mWitness, "frozen-before");
        mFleet.freeze(mHome);
        CompletableFuture<AggregatedHttpResponse> first =
                HttpCalls.post(mHome.callers(), SIGN_OFF, key);
        assertEquals(HttpCalls.outcome(mThird.callers(), key), "not-run");
        mHome.resume();
        assertEquals(first.join().headers().get("x-outcome"), "not-run");
        assertEquals(HttpCalls.outcome(mThird.callers(), key), "not-run");
        assertEquals(runs(key), 0);
    }

    // Guards against "not run" being reported for an operation that a target is running.
    @Test
    public void resumedHomeNeverReportsStartedOperationAsNotRun() {
        String key = mFleet.key(mHome, mWitness, "frozen-in-flight");
        mFleet.platform().setFaults(SLOW);
        CompletableFuture<AggregatedHttpResponse> first =
                HttpCalls.post(mHome.callers(), SIGN_OFF, key);
        awaitStarted(key);
        mFleet.freeze(mHome);
        assertEquals(HttpCalls.outcome(mThird.callers(), key), "unknown");
        mHome.resume();
        assertEquals(first.join().status().code(), 200);
        mFleet.platform()
                .await(
                        "the result is known",
                        () -> {
                            String outcome = HttpCalls.outcome(mThird.callers(), key);
                            assertNotEquals(outcome, "not-run");
                            return "ran".equals(outcome);
                        });
        assertEquals(runs(key), 1);
    }

    // Guards against a restarted VM running operations that belong to its former incarnation.
    @Test
    public void restartedVmNeverRunsKeysOfItsFormerIncarnation() {
        String ran = mFleet.key(mHome, mWitness, "replaced-ran");
        String unsent = mFleet.key(mHome, mWitness, "replaced-unsent");
        AggregatedHttpResponse first = HttpCalls.post(mHome.callers(), SIGN_OFF, ran).join();
        assertEquals(first.status().code(), 200);
        mHome.kill();
        mFleet.startMissing();

        VmProcess restarted = mFleet.vm(1);
        assertEquals(restarted.identity().name(), mHome.identity().name());
        assertNotEquals(restarted.identity(), mHome.identity());
        assertTrue(Set.of("ran", "unknown").contains(outcomeOfPost(restarted, ran)));
        assertEquals(outcomeOfPost(restarted, unsent), "not-run");
        assertEquals(runs(ran), 1);
        assertEquals(runs(unsent), 0);
    }

    // Guards against a planned stop cutting off requests in flight.
    @Test
    public void terminatedVmCompletesRequestsInFlight() {
        String key = mFleet.key(mHome, mWitness, "terminated");
        SlowReader listing =
                SlowReader.start(
                                mHome.callers(),
                                "/services/himal/desk/listings/long?bytes=" + RESPONSE_BYTES)
                        .awaitStarted();
        mFleet.platform().setFaults(SLOW);
        CompletableFuture<AggregatedHttpResponse> signOff =
                HttpCalls.post(mHome.callers(), SIGN_OFF, key);
        awaitStarted(key);

        mHome.terminate();
        mFleet.platform().await("discovery omits the VM", () -> !isDiscovered(mThird, mHome));
        assertEquals(signOff.join().status().code(), 200);
        assertTrue(mHome.isAlive(), "The VM exited with a listing in flight.");
        assertEquals(listing.resume().join(), RESPONSE_BYTES);
        String output = mHome.awaitEnd();
        assertTrue(output.contains("Stopped."), output);
        assertEquals(mHome.exitCode(), SIGTERM_EXIT_CODE);
        assertEquals(runs(key), 1);
    }

    private static boolean isDiscovered(VmProcess asked, VmProcess named) {
        return HttpCalls.discover(asked.callers()).stream()
                .anyMatch(address -> address.address().equals(named.callers().toString()));
    }
}
