package org.dahliapass.standins;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.SplittableRandom;
import org.dahliapass.kernel.ManualClock;
import org.testng.annotations.Test;

/** Tests for {@link KeyValueTable}. */
public class KeyValueTableTest {
    private final ManualClock mClock = new ManualClock(Instant.EPOCH);
    private final KeyValueTable mTable = new KeyValueTable(new SplittableRandom(7));

    @Test
    public void compareAndSwapRaceSecondWriterLoses() {
        // Guards against a lost update when two operators write after reading the same index.
        String key = "race";
        assertTrue(mTable.compareAndSwap(key, "old", 0, now()));
        long index = mTable.index(key, now());

        assertTrue(mTable.compareAndSwap(key, "first", index, now()));
        assertFalse(mTable.compareAndSwap(key, "second", index, now()));
        assertEquals(mTable.get(key, now()).orElseThrow().value(), "first");
    }

    @Test
    public void compareAndSwapWithZeroOnlyCreates() {
        assertTrue(mTable.compareAndSwap("create", "a", 0, now()));
        assertFalse(mTable.compareAndSwap("create", "b", 0, now()));
        assertFalse(mTable.compareAndSwap("absent", "c", 99, now()));
        assertTrue(mTable.get("absent", now()).isEmpty());
    }

    @Test
    public void deleteAdvancesIndexAndAllowsCreate() {
        mTable.put("deleted", "a", now());
        long index = mTable.index("deleted", now());
        assertFalse(mTable.compareAndDelete("deleted", index + 1, now()));
        mTable.delete("deleted", now());

        assertTrue(mTable.index("deleted", now()) > index);
        assertTrue(mTable.compareAndSwap("deleted", "b", 0, now()));
    }

    @Test
    public void expiredSessionLosesHeldKey() {
        // A holder that pauses beyond its time to live must not renew, acquire or release the key
        // after another session has acquired it.
        String first = mTable.createSession(10_000, now());
        assertTrue(mTable.acquire("held", "a", first, now()));
        String second = mTable.createSession(60_000, now());
        assertFalse(mTable.acquire("held", "b", second, now()));
        long index = mTable.index("held", now());

        mClock.advance(Duration.ofSeconds(10));
        assertTrue(
                mTable.index("held", now()) > index,
                "the expiry of the session must change the index");
        assertTrue(mTable.acquire("held", "b", second, now()));

        assertFalse(mTable.renewSession(first, now()));
        assertFalse(mTable.acquire("held", "a", first, now()));
        assertFalse(mTable.release("held", "a", first, now()));
        assertEquals(mTable.get("held", now()).orElseThrow().value(), "b");
    }

    @Test
    public void renewKeepsSessionAlive() {
        String session = mTable.createSession(10_000, now());
        mClock.advance(Duration.ofMillis(9_999));
        assertTrue(mTable.renewSession(session, now()));
        mClock.advance(Duration.ofMillis(9_999));
        assertTrue(mTable.hasSession(session, now()));
        mClock.advance(Duration.ofMillis(1));
        assertFalse(mTable.hasSession(session, now()));
    }

    private long now() {
        return mClock.millis();
    }
}
