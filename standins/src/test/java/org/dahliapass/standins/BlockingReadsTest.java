package org.dahliapass.standins;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.linecorp.armeria.common.CommonPools;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.Test;

/** Tests for {@link BlockingReads}. */
public class BlockingReadsTest {
    private static final long MAX_WAIT_MILLIS = 600_000;

    @Test
    public void readWaitsForHigherIndex() {
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
    public void readAfterCloseReturnsAtOnce() {
        // Clients that repeat their blocking read during a shutdown must not delay it.
        BlockingReads reads = new BlockingReads(key -> 5);
        CompletableFuture<Void> before = await(reads, 5);
        reads.close();
        assertTrue(before.isDone());
        assertTrue(await(reads, 5).isDone());
    }

    private static CompletableFuture<Void> await(BlockingReads reads, long index) {
        BlockingReadParameters parameters = new BlockingReadParameters(index, MAX_WAIT_MILLIS);
        return reads.await("key", parameters, CommonPools.workerGroup().next());
    }
}
