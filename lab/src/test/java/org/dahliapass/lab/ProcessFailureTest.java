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

/** Checks guarded operations and planned stops against VMs that are killed, frozen and stopped. */
public final class ProcessFailureTest {
    private static final String SIGN_OFF = "/services/himal/desk/sign-offs/7";
    private static final TargetFaults STALL =
            new TargetFaults(0, false, 1, true, false, false, null, 0, false);
    private static final TargetFaults SLOW =
            new TargetFaults(0, false, 1000, false, false, false, null, 0, false);
    private static final long BYTES = 64L * 1024 * 1024;
    private static final int ENDED_BY_SIGTERM = 143;

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
    public void mend() {
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

    private void awaitRun(String key) {
        mFleet.platform().await("the operation has begun", () -> runs(key) == 1);
    }

    private static String answered(VmProcess vm, String key) {
        return HttpCalls.post(vm.callers(), SIGN_OFF, key).join().headers().get("x-outcome");
    }

    // A sign-off is at a target that doesn't answer when its VM is killed. Whoever asks, before and
    // after the fleet knows of the death, is told "unknown", since the witness knows that it was
    // to run; the same key sent to another VM is not run a second time.
    @Test
    public void homeKilledInFlightIsUnknownAndRunsOnce() {
        String key = mFleet.key(mHome, mWitness, "killed-in-flight");
        mFleet.platform().setFaults(STALL);
        CompletableFuture<AggregatedHttpResponse> lost =
                HttpCalls.post(mHome.callers(), SIGN_OFF, key);
        awaitRun(key);
        mHome.kill();
        assertTrue(lost.handle((answer, failure) -> failure != null).join());

        mFleet.platform()
                .await(
                        "the death is known",
                        () -> {
                            assertEquals(HttpCalls.outcome(mThird.callers(), key), "unknown");
                            return HttpCalls.memberStates(mThird.operators()).size() == 2;
                        });
        assertEquals(HttpCalls.outcome(mThird.callers(), key), "unknown");
        assertEquals(HttpCalls.outcome(mWitness.callers(), key), "unknown");
        assertEquals(answered(mThird, key), "unknown");
        assertEquals(runs(key), 1);
    }

    // A VM is killed before a sign-off reaches it. Its caller asks another VM and is told "not
    // run": the witness never heard of the key and refuses it from now on. The late request is
    // refused wherever it comes, also by the VM's next life.
    @Test
    public void homeKilledBeforeArrivalIsNotRun() {
        String key = mFleet.key(mHome, mWitness, "killed-before");
        mHome.kill();
        assertEquals(HttpCalls.outcome(mThird.callers(), key), "not-run");
        assertEquals(answered(mThird, key), "not-run");
        assertEquals(answered(mWitness, key), "not-run");
        mFleet.startMissing();
        assertEquals(answered(mFleet.vm(1), key), "not-run");
        assertEquals(HttpCalls.outcome(mThird.callers(), key), "not-run");
        assertEquals(runs(key), 0);
    }

    // A sign-off lies unread in the socket of a frozen VM. Its caller asks another VM and is told
    // "not run". The VM wakes, reads the request and wants to run it: the witness refuses, since
    // it gave its word, and the first request is told the same.
    @Test
    public void frozenHomeThatWakesRunsNothingThatWasToldNotRun() {
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

    // A VM freezes while a target works on its sign-off. Asked at another VM, the outcome is
    // "unknown", and never "not run". The VM wakes, finds the answer in its socket and hands it to
    // the caller; from then on everybody is told that it ran.
    @Test
    public void frozenHomeThatWakesInFlightDoesNotContradict() {
        String key = mFleet.key(mHome, mWitness, "frozen-in-flight");
        mFleet.platform().setFaults(SLOW);
        CompletableFuture<AggregatedHttpResponse> first =
                HttpCalls.post(mHome.callers(), SIGN_OFF, key);
        awaitRun(key);
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

    // A VM is killed and started again under its name. Its new life gets two keys of the old one:
    // one that ran and one that was never sent. It runs neither, since a key names the life that
    // may run it; nobody is told that the first was not run.
    @Test
    public void replacedVmNeverRunsKeysOfItsOldLife() {
        String ran = mFleet.key(mHome, mWitness, "replaced-ran");
        String unsent = mFleet.key(mHome, mWitness, "replaced-unsent");
        AggregatedHttpResponse first = HttpCalls.post(mHome.callers(), SIGN_OFF, ran).join();
        assertEquals(first.status().code(), 200);
        mHome.kill();
        mFleet.startMissing();

        VmProcess next = mFleet.vm(1);
        assertEquals(next.identity().name(), mHome.identity().name());
        assertNotEquals(next.identity(), mHome.identity());
        assertTrue(Set.of("ran", "unknown").contains(answered(next, ran)));
        assertEquals(answered(next, unsent), "not-run");
        assertEquals(runs(ran), 1);
        assertEquals(runs(unsent), 0);
    }

    // A VM gets SIGTERM while it hands on a long listing and a sign-off is at its target. Asks at
    // other VMs stop naming it; both answers arrive whole; then the process ends by itself, and
    // says that it has drained.
    @Test
    public void terminatedVmDeliversWhatIsInFlight() {
        String key = mFleet.key(mHome, mWitness, "terminated");
        SlowReader listing =
                SlowReader.start(
                                mHome.callers(),
                                "/services/himal/desk/listings/long?bytes=" + BYTES)
                        .awaitStarted();
        mFleet.platform().setFaults(SLOW);
        CompletableFuture<AggregatedHttpResponse> signOff =
                HttpCalls.post(mHome.callers(), SIGN_OFF, key);
        awaitRun(key);

        mHome.terminate();
        mFleet.platform().await("asks stop naming it", () -> !isNamed(mThird, mHome));
        assertEquals(signOff.join().status().code(), 200);
        assertTrue(mHome.isAlive(), "It ended with a listing in flight.");
        assertEquals(listing.resume().join(), BYTES);
        String output = mHome.awaitEnd();
        assertTrue(output.contains("Stopped."), output);
        assertEquals(mHome.exitCode(), ENDED_BY_SIGTERM);
        assertEquals(runs(key), 1);
    }

    private static boolean isNamed(VmProcess asked, VmProcess named) {
        return HttpCalls.discover(asked.callers()).stream()
                .anyMatch(address -> address.address().equals(named.callers().toString()));
    }
}
