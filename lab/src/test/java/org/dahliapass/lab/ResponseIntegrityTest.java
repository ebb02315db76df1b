package org.dahliapass.lab;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.dahliapass.entry.EntryVm;
import org.dahliapass.standins.TargetFaults;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks that every caller gets the whole answer to its own request, or a visible failure. */
public final class ResponseIntegrityTest {
    private static final String LISTINGS = "/services/himal/desk/listings/";
    private static final TargetFaults CUT =
            new TargetFaults(0, false, 1, false, true, false, null, 0, false);
    private static final TargetFaults STALL =
            new TargetFaults(0, false, 1, true, false, false, null, 0, false);
    private static final int ROUNDS = 8;
    private static final int CALLERS = 12;

    /** More than the slots of all targets, and less than the queues hold. */
    private static final int CROWD = 45;

    /** Above this the answer can't lie in the buffers on its way. */
    private static final long BYTES = 64L * 1024 * 1024;

    private TestFleet mFleet;

    @BeforeClass
    public void startFleet() {
        mFleet = TestFleet.start(3, 3);
    }

    @AfterMethod
    public void mendTargets() {
        mFleet.platform().setFaults(TargetFaults.NONE);
    }

    @AfterClass
    public void stopFleet() {
        mFleet.close();
    }

    /** Answers that are written at once, and in many pieces. */
    @DataProvider
    public Object[][] cutPaths() {
        return new Object[][] {{"short"}, {"long?bytes=300000"}};
    }

    // Each target breaks its answer off after half of the body. The caller sees a broken stream or
    // a refusal, never a status 200 whose body looks whole: what is passed on breaks off as well.
    @Test(dataProvider = "cutPaths")
    public void answerCutShortIsNeverPassedOffAsWhole(String path) {
        mFleet.platform().setFaults(CUT);
        for (EntryVm vm : mFleet.vms()) {
            CompletableFuture<AggregatedHttpResponse> answer =
                    HttpCalls.getAsync(vm.callerEndpoint(), LISTINGS + path);
            boolean failed =
                    answer.handle((whole, failure) -> failure != null || !isGood(whole)).join();
            assertTrue(failed, "Half a body was passed off as whole.");
        }
    }

    private static boolean isGood(AggregatedHttpResponse answer) {
        return answer.status().isSuccess();
    }

    // Many callers ask for different listings at once while each target works at another speed, so
    // that later requests are answered earlier. Some callers go away halfway. Every answer names
    // the path that its caller asked for: an answer is bound to the exchange that it came by.
    @Test
    public void lateAnswersReachTheirOwnCallersOnly() {
        for (int round = 0; round < ROUNDS; round++) {
            mixSpeeds(round);
            Map<String, CompletableFuture<AggregatedHttpResponse>> answers = new LinkedHashMap<>();
            for (int number = 0; number < CALLERS; number++) {
                EntryVm vm = mFleet.vms().get(number % mFleet.vms().size());
                String path = "/listings/" + round + "-" + number + "-";
                answers.put(
                        path,
                        HttpCalls.getAsync(vm.callerEndpoint(), "/services/himal/desk" + path));
                SlowReader.start(vm.callerEndpoint(), LISTINGS + "left?bytes=" + BYTES)
                        .awaitStarted()
                        .cancel();
            }
            answers.forEach(ResponseIntegrityTest::assertOwn);
        }
    }

    // More callers than slots ask at once, so that most wait in queues or come back from a target
    // that has no slot for them, while others leave in the middle of their answers. Each gets the
    // answer to its own path, or the refusal that it was not run.
    @Test
    public void crowdedCallersGetTheirOwnAnswerOrRefusal() {
        int served = 0;
        for (int round = 0; round < ROUNDS; round++) {
            mixSpeeds(round);
            List<SlowReader> leavers = startLeavers();
            Map<String, CompletableFuture<AggregatedHttpResponse>> answers = new LinkedHashMap<>();
            for (int number = 0; number < CROWD; number++) {
                EntryVm vm = mFleet.vms().get(number % mFleet.vms().size());
                String path = "/listings/crowd-" + round + "-" + number + "-";
                answers.put(
                        path,
                        HttpCalls.getAsync(vm.callerEndpoint(), "/services/himal/desk" + path));
            }
            leavers.forEach(leaver -> leaver.awaitStarted().cancel());
            served += countOwn(answers);
        }
        assertTrue(served >= ROUNDS * CROWD / 2, served + " were served.");
    }

    private List<SlowReader> startLeavers() {
        return mFleet.vms().stream()
                .map(vm -> SlowReader.start(vm.callerEndpoint(), LISTINGS + "left?bytes=" + BYTES))
                .toList();
    }

    private static int countOwn(Map<String, CompletableFuture<AggregatedHttpResponse>> answers) {
        int served = 0;
        for (Map.Entry<String, CompletableFuture<AggregatedHttpResponse>> entry :
                answers.entrySet()) {
            AggregatedHttpResponse answer = entry.getValue().join();
            if (answer.status().code() == 503) {
                assertEquals(answer.headers().get("x-outcome"), "not-run", answer.contentUtf8());
            } else {
                assertOwn(entry.getKey(), entry.getValue());
                served++;
            }
        }
        return served;
    }

    private void mixSpeeds(int round) {
        for (int index = 0; index < mFleet.targets().size(); index++) {
            int factor = 1 + 20 * ((index + round) % mFleet.targets().size());
            mFleet.targets()
                    .get(index)
                    .setFaults(
                            new TargetFaults(
                                    0, false, factor, false, false, false, null, 0, false));
        }
    }

    private static void assertOwn(String path, CompletableFuture<AggregatedHttpResponse> answer) {
        AggregatedHttpResponse whole = answer.join();
        assertEquals(whole.status().code(), 200, whole.contentUtf8());
        assertEquals(HttpCalls.json(whole).path("path").asText(), path);
    }

    // A caller closes its connection while the target still works on its listing, and another one
    // in the middle of the body. Both requests end at the target: the VM passes the cancel on.
    @Test
    public void cancelReachesTarget() {
        long before = mFleet.platform().cancelled();
        SlowReader halfway =
                SlowReader.start(
                                mFleet.vms().get(0).callerEndpoint(),
                                LISTINGS + "halfway?bytes=" + BYTES)
                        .awaitStarted();
        halfway.cancel();
        mFleet.await(
                "the body's end is cancelled", () -> mFleet.platform().cancelled() >= before + 1);

        mFleet.platform().setFaults(STALL);
        long served = mFleet.platform().served();
        var stalled =
                HttpCalls.client("h1c", mFleet.vms().get(1).callerEndpoint())
                        .get(LISTINGS + "stalled");
        CompletableFuture<AggregatedHttpResponse> whole = stalled.aggregate();
        mFleet.await("it has begun", () -> mFleet.platform().served() > served);
        assertFalse(whole.isDone());
        stalled.abort();
        expectThrows(CompletionException.class, whole::join);
        mFleet.await(
                "the stalled work is cancelled", () -> mFleet.platform().cancelled() >= before + 2);
    }
}
