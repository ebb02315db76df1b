package org.dahliapass.kernel;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link ControlLoop}. */
public final class ControlLoopTest {
    private static final int BOUND_SECONDS = 30;

    private ControlLoop mLoop;

    @BeforeMethod
    public void setUp() {
        mLoop = new ControlLoop(new ManualClock(Instant.ofEpochMilli(7)));
    }

    @AfterMethod
    public void tearDown() {
        mLoop.stop().join();
    }

    @Test
    public void executeKeepsTheOrderOfPosting() throws Exception {
        List<Integer> seen = new ArrayList<>();
        for (int event = 0; event < 100; event++) {
            int number = event;
            mLoop.execute(() -> seen.add(number));
        }

        List<Integer> copy =
                mLoop.submit(() -> List.copyOf(seen)).get(BOUND_SECONDS, TimeUnit.SECONDS);

        assertEquals(copy.size(), 100);
        assertEquals(copy, copy.stream().sorted().toList());
    }

    @Test
    public void nowComesFromTheInjectedClock() {
        assertEquals(mLoop.nowMillis(), 7);
    }

    // A VM looks alive but probes and gossips no more. One event threw; the executor then dropped
    // the periodic event for good, without a word. The loop must log it and run the next round.
    @Test
    public void periodicEventThatThrowsRunsAgain() throws Exception {
        CountDownLatch rounds = new CountDownLatch(3);
        mLoop.scheduleWithFixedDelay(
                Duration.ofMillis(1),
                () -> {
                    rounds.countDown();
                    throw new IllegalStateException("The first round fails, as all do.");
                });

        assertTrue(rounds.await(BOUND_SECONDS, TimeUnit.SECONDS));
    }

    @Test
    public void askGivesTheQuestionsFailureToTheAsker() {
        ExecutionException failure =
                expectThrows(ExecutionException.class, () -> mLoop.submit(this::fail).get());

        assertEquals(failure.getCause().getMessage(), "no answer");
    }

    // A VM drains while a traffic thread still posts. What comes after the stop is dropped or
    // answered with a failed future; nothing may be thrown into the traffic thread.
    @Test
    public void stoppedLoopDropsEventsAndFailsQuestions() {
        mLoop.stop().join();

        List<String> ran = new CopyOnWriteArrayList<>();
        mLoop.execute(() -> ran.add("execute"));
        mLoop.schedule(Duration.ZERO, () -> ran.add("after"));
        mLoop.scheduleWithFixedDelay(Duration.ofMillis(1), () -> ran.add("every"));
        ExecutionException failure =
                expectThrows(ExecutionException.class, () -> mLoop.submit(() -> 1).get());
        assertEquals(failure.getCause().getClass(), OperationException.class);
        assertEquals(ran, List.of());
    }

    private Integer fail() {
        throw new IllegalStateException("no answer");
    }
}
