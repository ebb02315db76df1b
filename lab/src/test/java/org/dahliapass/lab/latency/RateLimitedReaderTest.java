package org.dahliapass.lab.latency;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import com.linecorp.armeria.common.HttpData;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.reactivestreams.Subscription;
import org.testng.annotations.Test;

/** Tests for {@link RateLimitedReader}. */
public class RateLimitedReaderTest {
    /** A clock that stands still. */
    private static final class Still implements Pacer {
        @Override
        public long nowNanos() {
            return 0;
        }

        @Override
        public void awaitNanos(long timeNanos) {}
    }

    /** Counts what was asked for. */
    private static final class Source implements Subscription {
        private long mRequested;

        @Override
        public void request(long pieces) {
            mRequested += pieces;
        }

        @Override
        public void cancel() {}
    }

    @Test
    public void countsTheBodyAndAsksForOnePieceAtATime() throws InterruptedException {
        ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();
        RateLimitedReader reader = new RateLimitedReader(new Still(), executor, Long.MAX_VALUE);
        Source source = new Source();
        reader.onSubscribe(source);
        reader.onNext(HttpData.ofUtf8("seven.."));
        assertEquals(source.mRequested, 2);
        reader.onComplete();
        assertEquals(reader.bodyLength().join(), Long.valueOf(7));
        executor.shutdown();
        assertEquals(executor.awaitTermination(10, TimeUnit.SECONDS), true);
    }

    @Test
    public void aReaderThatIsAheadOfItsRateAsksForNothingYet() {
        ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();
        RateLimitedReader reader = new RateLimitedReader(new Still(), executor, 1);
        Source source = new Source();
        reader.onSubscribe(source);
        reader.onNext(HttpData.ofUtf8("an hour of bytes".repeat(225)));
        assertEquals(source.mRequested, 1);
        assertEquals(executor.shutdownNow().size(), 1);
    }

    @Test
    public void aBodyThatBreaksOffFails() {
        ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();
        RateLimitedReader reader = new RateLimitedReader(new Still(), executor, 1);
        reader.onError(new IllegalStateException("cut"));
        assertThrows(CompletionException.class, () -> reader.bodyLength().join());
        executor.shutdownNow();
    }
}
