package org.dahliapass.lab.latency;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.Test;

/** Tests for {@link OpenLoopGenerator}. */
public class OpenLoopGeneratorTest {
    private static final long MILLI = 1_000_000;

    /** Time that passes only when it is awaited or a sender takes it. */
    private static final class VirtualTime implements Pacer {
        private long mNanos = 77 * MILLI;

        @Override
        public long nowNanos() {
            return mNanos;
        }

        @Override
        public void awaitNanos(long timeNanos) {
            mNanos = Math.max(mNanos, timeNanos);
        }
    }

    @Test
    public void sendsAtTheRateWhateverTheAnswersDo() {
        VirtualTime time = new VirtualTime();
        List<Long> sent = new ArrayList<>();
        RequestSender sender =
                () -> {
                    sent.add((time.nowNanos() - 77 * MILLI) / MILLI);
                    return CompletableFuture.completedFuture(true);
                };
        LatencyRecorder tally = new LatencyRecorder();
        new OpenLoopGenerator(time).run(sender, 100, 4, tally);
        assertEquals(sent, List.of(0L, 10L, 20L, 30L));
        assertTrue(tally.isSustained());
        assertEquals(tally.percentileMillis(100), 0.0);
    }

    @Test
    public void aStallIsChargedToEveryRequestThatItHeldUp() {
        // A generator that counts from the real sending sees one request of 95 ms and nine of 0 ms.
        // Their users waited 95, 85, 75, ... ms: the stall held all of them up.
        VirtualTime time = new VirtualTime();
        RequestSender sender =
                () -> {
                    time.awaitNanos((77 + 95) * MILLI);
                    return CompletableFuture.completedFuture(true);
                };
        LatencyRecorder tally = new LatencyRecorder();
        new OpenLoopGenerator(time).run(sender, 100, 10, tally);
        assertEquals(tally.percentileMillis(100), 95.0, 0.1);
        assertEquals(tally.percentileMillis(50), 45.0, 0.1);
    }

    @Test
    public void anAnswerThatIsWrongOrMissingIsCountedAndNotSustained() {
        VirtualTime time = new VirtualTime();
        List<CompletableFuture<Boolean>> answers =
                new ArrayList<>(
                        List.of(
                                CompletableFuture.completedFuture(true),
                                CompletableFuture.completedFuture(false),
                                CompletableFuture.failedFuture(new IllegalStateException("cut"))));
        LatencyRecorder tally = new LatencyRecorder();
        new OpenLoopGenerator(time).run(() -> answers.remove(0), 100, 3, tally);
        assertEquals(tally.successes(), 1);
        assertEquals(tally.errors(), 2);
        assertFalse(tally.isSustained());
    }

    @Test
    public void answersThatComeLongAfterTheLastSendingAreNotSustained() {
        VirtualTime time = new VirtualTime();
        RequestSender sender =
                () -> {
                    time.awaitNanos(time.nowNanos() + 20 * MILLI);
                    return CompletableFuture.completedFuture(true);
                };
        LatencyRecorder tally = new LatencyRecorder();
        new OpenLoopGenerator(time).run(sender, 100, 10, tally);
        assertFalse(tally.isSustained());
        assertEquals(tally.responsesPerSecond(), 50.0, 0.1);
    }
}
