package org.dahliapass.decisions.routing;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link LeasedEntryCache}. */
public final class LeasedEntryCacheTest {
    private static final long GRACE = 2_500;
    private static final int TOGETHER = 3;

    private LeasedEntryCache<String> mBelieved;

    @BeforeMethod
    public void fill() {
        mBelieved = new LeasedEntryCache<>(GRACE);
        for (String name : List.of("a", "b", "c", "d")) {
            mBelieved.put(name, "entry of " + name);
        }
    }

    @Test
    public void entryThatVanishesAloneIsDroppedAtOnce() {
        mBelieved.onExpired(Set.of("a"), TOGETHER, 1_000);
        assertEquals(mBelieved.entries().keySet(), Set.of("b", "c", "d"));
    }

    /**
     * A caller would see "no target" for seconds. The store was away for a while, and the leases of
     * all entries ran out meanwhile, although the targets were well and wrote them again at once.
     */
    @Test
    public void entriesThatLapsedWithTheStoreAreKeptUntilTheyAreBack() {
        mBelieved.onStoreRecovered(1_000);
        mBelieved.onExpired(Set.of("a"), TOGETHER, 1_100);
        assertEquals(mBelieved.evictExpired(2_000), List.of());
        mBelieved.put("a", "entry of a");
        assertEquals(mBelieved.evictExpired(10_000), List.of());
        assertEquals(mBelieved.entries().size(), 4);
    }

    /** The same, but the outage was over before anybody asked the store for anything. */
    @Test
    public void entriesThatVanishTogetherAreKeptForTheGrace() {
        mBelieved.onExpired(Set.of("a", "b", "c"), TOGETHER, 1_000);
        assertEquals(mBelieved.entries().size(), 4);
        mBelieved.put("b", "entry of b");
        assertEquals(Set.copyOf(mBelieved.evictExpired(1_000 + GRACE)), Set.of("a", "c"));
        assertEquals(mBelieved.entries().keySet(), Set.of("b", "d"));
    }

    @Test
    public void newestEntryComesLast() {
        mBelieved.put("a", "newer");
        assertEquals(List.copyOf(mBelieved.entries().keySet()), List.of("b", "c", "d", "a"));
    }

    /**
     * Every VM of a large fleet would work out anew what follows from hundreds of equal entries.
     */
    @Test
    public void entryThatSaysNothingNewIsNoChange() {
        long before = mBelieved.modificationCount();
        mBelieved.put("a", "entry of a");
        mBelieved.evict("unknown");
        assertEquals(mBelieved.modificationCount(), before);
        mBelieved.put("a", "newer");
        mBelieved.evict("b");
        mBelieved.onExpired(Set.of("c"), TOGETHER, 1_000);
        assertEquals(mBelieved.modificationCount(), before + 3);
    }
}
