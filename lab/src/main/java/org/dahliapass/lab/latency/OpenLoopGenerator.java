package org.dahliapass.lab.latency;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.dahliapass.kernel.Futures;

/** Sends requests at a fixed rate, whether or not the earlier ones have been answered. */
final class OpenLoopGenerator {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final Pacer mPacer;

    OpenLoopGenerator(Pacer pacer) {
        mPacer = pacer;
    }

    /** Sends a block of requests and returns when all have been answered or have failed. */
    void run(RequestSender sender, int rate, int requests, LatencyRecorder tally) {
        long start = mPacer.nowNanos();
        AtomicLong end = new AtomicLong(start);
        CompletableFuture<?>[] answers = new CompletableFuture<?>[requests];
        for (int number = 0; number < requests; number++) {
            long intended = start + number * NANOS_PER_SECOND / rate;
            mPacer.awaitNanos(intended);
            CompletableFuture<Boolean> answer = sender.send();
            CompletableFuture<Void> recorded = new CompletableFuture<>();
            Futures.whenDone(
                    answer,
                    (right, failure) -> {
                        long now = mPacer.nowNanos();
                        tally.recordResponse(now - intended, failure == null && right);
                        end.accumulateAndGet(now, Math::max);
                        recorded.complete(null);
                    });
            answers[number] = recorded;
        }
        CompletableFuture.allOf(answers).join();
        long planned = requests * NANOS_PER_SECOND / rate;
        tally.recordBatch(planned, Math.max(planned, end.get() - start));
    }
}
