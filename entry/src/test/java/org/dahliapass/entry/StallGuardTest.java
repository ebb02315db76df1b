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
public final class StallGuardTest {
    private static final Duration STALL = Duration.ofSeconds(30);

    private final ManualClock mClock = new ManualClock(Instant.EPOCH);
    private final StallGuard mGuard = new StallGuard(mClock);

    // A target stops in the middle of a body. The caller would wait for ever; the answer is broken
    // off once it has made no progress for the stall time.
    @Test
    public void answerWithoutProgressIsBrokenOff() {
        HttpResponseWriter response = HttpResponse.streaming();
        mGuard.watch(response, STALL);
        mClock.advance(STALL.plusMillis(1));
        mGuard.sweep();
        Throwable cause =
                expectThrows(CompletionException.class, () -> response.whenComplete().join())
                        .getCause();
        // Any other cause is taken for the caller's doing, and the target would never be suspected.
        assertTrue(cause instanceof OperationException, cause.toString());
        assertEquals(mGuard.size(), 0);
    }

    @Test
    public void slowAnswerThatMakesProgressGoesOn() {
        HttpResponseWriter response = HttpResponse.streaming();
        StallGuard.Watched watched = mGuard.watch(response, STALL);
        for (int piece = 0; piece < 10; piece++) {
            mClock.advance(Duration.ofSeconds(20));
            watched.progress();
            mGuard.sweep();
        }
        assertFalse(response.whenComplete().isDone());
        mGuard.done(watched);
        response.close();
    }

    // Callers send hundreds of short requests a second. Each used to leave a timer of a minute with
    // all that it held, until the memory was full; an answer that is done must leave nothing.
    @Test
    public void answerThatIsDoneLeavesNothing() {
        int before = mGuard.size();
        for (int request = 0; request < 1000; request++) {
            mGuard.done(mGuard.watch(HttpResponse.streaming(), STALL));
        }
        assertEquals(mGuard.size(), before);
    }
}
