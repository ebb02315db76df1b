package org.dahliapass.standins;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.linecorp.armeria.common.CommonPools;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.Test;

/** Tests when blocking reads are answered. */
public class BlockingReadsTest {
    private static final long LONG_MILLIS = 600_000;

    @Test
    public void readWaitsForAHigherIndex() {
        AtomicLong index = new AtomicLong(5);
        BlockingReads reads = new BlockingReads(key -> index.get());
        CompletableFuture<Void> old = await(reads, 4);
        CompletableFuture<Void> current = await(reads, 5);
        assertTrue(old.isDone());
        assertFalse(current.isDone());
        index.set(6);
        reads.completeChanged();
        assertTrue(current.isDone());
    }

    @Test
    public void readAfterCloseDoesNotWait() {
        // Watchers hold a blocking read each and ask again once it is answered. A stop that answers
        // only the reads it finds would hang on the next ones until its grace of 30 s has passed.
        BlockingReads reads = new BlockingReads(key -> 5);
        CompletableFuture<Void> before = await(reads, 5);
        reads.close();
        assertTrue(before.isDone());
        assertTrue(await(reads, 5).isDone());
    }

    private static CompletableFuture<Void> await(BlockingReads reads, long index) {
        BlockingReadParameters wait = new BlockingReadParameters(index, LONG_MILLIS);
        return reads.await("key", wait, CommonPools.workerGroup().next());
    }
}
