package org.dahliapass.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpResponseWriter;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletionException;
import org.dahliapass.kernel.ManualClock;
import org.dahliapass.kernel.OperationException;
import org.testng.annotations.Test;

/** Checks that answers end that stall, and only those. */
public final class StalledResponseMonitorTest {
    private static final Duration STALL = Duration.ofSeconds(30);

    private final ManualClock mClock = new ManualClock(Instant.EPOCH);
    private final StalledResponseMonitor mMonitor = new StalledResponseMonitor(mClock);

    // A target stops in the middle of a body. The caller would wait for ever; the answer is broken
    // off once it has made no progress for the stall time.
    @Test
    public void answerWithoutProgressIsBrokenOff() {
        HttpResponseWriter response = HttpResponse.streaming();
        mMonitor.watch(response, STALL);
        mClock.advance(STALL.plusMillis(1));
        mMonitor.abortStalled();
        Throwable cause =
                expectThrows(CompletionException.class, () -> response.whenComplete().join())
                        .getCause();
        // Any other cause is taken for the caller's doing, and the target would never be suspected.
        assertTrue(cause instanceof OperationException, cause.toString());
        assertEquals(mMonitor.size(), 0);
    }

    @Test
    public void slowAnswerThatMakesProgressGoesOn() {
        HttpResponseWriter response = HttpResponse.streaming();
        StalledResponseMonitor.WatchedResponse watched = mMonitor.watch(response, STALL);
        for (int piece = 0; piece < 10; piece++) {
            mClock.advance(Duration.ofSeconds(20));
            watched.onProgress();
            mMonitor.abortStalled();
        }
        assertFalse(response.whenComplete().isDone());
        mMonitor.unwatch(watched);
        response.close();
    }

    // Callers send hundreds of short requests a second. Each used to leave a timer of a minute with
    // all that it held, until the memory was full; an answer that is done must leave nothing.
    @Test
    public void answerThatIsDoneLeavesNothing() {
        int before = mMonitor.size();
        for (int request = 0; request < 1000; request++) {
            mMonitor.unwatch(mMonitor.watch(HttpResponse.streaming(), STALL));
        }
        assertEquals(mMonitor.size(), before);
    }
}
