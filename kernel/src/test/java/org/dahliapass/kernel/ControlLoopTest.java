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
    private static final int TIMEOUT_SECONDS = 30;

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
    public void executeRunsEventsInOrder() throws Exception {
        List<Integer> order = new ArrayList<>();
        for (int event = 0; event < 100; event++) {
            int number = event;
            mLoop.execute(() -> order.add(number));
        }

        List<Integer> copy =
                mLoop.submit(() -> List.copyOf(order)).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);

        assertEquals(copy.size(), 100);
        assertEquals(copy, copy.stream().sorted().toList());
    }

    @Test
    public void nowMillisUsesTheInjectedClock() {
        assertEquals(mLoop.nowMillis(), 7);
    }

    // The executor silently cancels a periodic task that throws; probes and gossip would stop.
    @Test
    public void periodicEventRunsAgainAfterItThrows() throws Exception {
        CountDownLatch runs = new CountDownLatch(3);
        mLoop.scheduleWithFixedDelay(
                Duration.ofMillis(1),
                () -> {
                    runs.countDown();
                    throw new IllegalStateException("thrown by every run");
                });

        assertTrue(runs.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }

    @Test
    public void submitFailsWithTheSuppliersException() {
        ExecutionException failure =
                expectThrows(ExecutionException.class, () -> mLoop.submit(this::fail).get());

        assertEquals(failure.getCause().getMessage(), "no result");
    }

    // A traffic thread may still post events while the VM drains; it must not see an exception.
    @Test
    public void stoppedLoopDropsEventsAndFailsSubmissions() {
        mLoop.stop().join();

        List<String> ran = new CopyOnWriteArrayList<>();
        mLoop.execute(() -> ran.add("execute"));
        mLoop.schedule(Duration.ZERO, () -> ran.add("schedule"));
        mLoop.scheduleWithFixedDelay(Duration.ofMillis(1), () -> ran.add("scheduleWithFixedDelay"));
        ExecutionException failure =
                expectThrows(ExecutionException.class, () -> mLoop.submit(() -> 1).get());
        assertEquals(failure.getCause().getClass(), OperationException.class);
        assertEquals(ran, List.of());
    }

    private Integer fail() {
        throw new IllegalStateException("no result");
    }
}
