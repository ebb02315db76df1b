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

/** Tests for {@link StalledResponseMonitor}. */
public final class StalledResponseMonitorTest {
    private static final Duration STALL_TIMEOUT = Duration.ofSeconds(30);

    private final ManualClock mClock = new ManualClock(Instant.EPOCH);
    private final StalledResponseMonitor mMonitor = new StalledResponseMonitor(mClock);

    // A target that stops in the middle of a body must not block the caller forever.
    @Test
    public void responseWithoutProgressIsAborted() {
        HttpResponseWriter response = HttpResponse.streaming();
        mMonitor.watch(response, STALL_TIMEOUT);
        mClock.advance(STALL_TIMEOUT.plusMillis(1));
        mMonitor.abortStalled();
        Throwable cause =
                expectThrows(CompletionException.class, () -> response.whenComplete().join())
                        .getCause();
        // Any other cause counts as a cancellation by the caller, not as the target's failure.
        assertTrue(cause instanceof OperationException, cause.toString());
        assertEquals(mMonitor.size(), 0);
    }

    @Test
    public void slowResponseThatMakesProgressContinues() {
        HttpResponseWriter response = HttpResponse.streaming();
        StalledResponseMonitor.WatchedResponse watched = mMonitor.watch(response, STALL_TIMEOUT);
        for (int chunk = 0; chunk < 10; chunk++) {
            mClock.advance(Duration.ofSeconds(20));
            watched.onProgress();
            mMonitor.abortStalled();
        }
        assertFalse(response.whenComplete().isDone());
        mMonitor.unwatch(watched);
        response.close();
    }

    // Guards against a memory leak by short requests.
    @Test
    public void unwatchedResponseIsRemoved() {
        int before = mMonitor.size();
        for (int request = 0; request < 1000; request++) {
            mMonitor.unwatch(mMonitor.watch(HttpResponse.streaming(), STALL_TIMEOUT));
        }
        assertEquals(mMonitor.size(), before);
    }
}
