package org.dahliapass.decisions.routing;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link LeasedEntryCache}. */
public final class LeasedEntryCacheTest {
    private static final long GRACE_MILLIS = 2_500;

    private LeasedEntryCache<String> mCache;

    @BeforeMethod
    public void fill() {
        mCache = new LeasedEntryCache<>(GRACE_MILLIS);
        for (String name : List.of("a", "b", "c", "d")) {
            mCache.put(name, "entry of " + name);
        }
    }

    /** Guards against a removed target that gets requests, because others left together with it. */
    @Test
    public void anyNumberOfRemovedEntriesIsEvictedAtOnce() {
        mCache.setStoreReturn(OptionalLong.of(0));
        mCache.onRemoved(Set.of("a"), GRACE_MILLIS);
        assertEquals(mCache.entries().keySet(), Set.of("b", "c", "d"));
        mCache.onRemoved(Set.of("b", "c", "d"), GRACE_MILLIS);
        assertEquals(mCache.entries().keySet(), Set.of());
    }

    /** Guards against a service without targets after leases expired during a store outage. */
    @Test
    public void entriesExpiredInAnOutageAreRetainedUntilRewritten() {
        mCache.setStoreReturn(OptionalLong.of(1_000));
        mCache.onRemoved(Set.of("a"), 1_100);
        assertEquals(mCache.evictExpired(2_000), List.of());
        mCache.put("a", "entry of a");
        assertEquals(mCache.evictExpired(10_000), List.of());
        assertEquals(mCache.entries().size(), 4);
    }

    /** Guards against the same failure if all leases expired. */
    @Test
    public void entriesExpiredTogetherAreRetainedForTheGracePeriod() {
        mCache.setStoreReturn(OptionalLong.of(1_000));
        mCache.onRemoved(Set.of("a", "b", "c"), 1_100);
        assertEquals(mCache.entries().size(), 4);
        mCache.put("b", "entry of b");
        assertEquals(mCache.evictExpired(1_000 + GRACE_MILLIS - 1), List.of());
        assertEquals(Set.copyOf(mCache.evictExpired(1_000 + GRACE_MILLIS)), Set.of("a", "c"));
        assertEquals(mCache.entries().keySet(), Set.of("b", "d"));
    }

    /** Guards against a removed target that is retained although the store was not away. */
    @Test
    public void retainedEntriesAreEvictedOnceTheOutageIsDisproved() {
        mCache.setStoreReturn(OptionalLong.of(9_000));
        mCache.onRemoved(Set.of("a"), 9_100);
        mCache.setStoreReturn(OptionalLong.empty());
        assertEquals(mCache.evictExpired(9_200), List.of("a"));
    }

    /** Guards against entries that are dropped because the store's copy lacks them. */
    @Test
    public void entriesMissingAfterARestoreAreRetainedUntilRewritten() {
        mCache.onStoreRestored(1_000, Duration.ofMillis(500));
        mCache.onRemoved(Set.of("a"), 1_100);
        assertEquals(mCache.evictExpired(1_000 + GRACE_MILLIS), List.of());
        assertEquals(mCache.evictExpired(1_500 + GRACE_MILLIS), List.of("a"));
    }

    /** Guards against entries that are dropped because a second restore came at once. */
    @Test
    public void secondRestoreExtendsTheGracePeriod() {
        mCache.onStoreRestored(1_000, Duration.ZERO);
        mCache.onRemoved(Set.of("a"), 1_100);
        mCache.onStoreRestored(3_000, Duration.ZERO);
        assertEquals(mCache.evictExpired(1_000 + GRACE_MILLIS), List.of());
        assertEquals(mCache.evictExpired(3_000 + GRACE_MILLIS), List.of("a"));
    }

    @Test
    public void lastWrittenEntryComesLast() {
        mCache.put("a", "newer");
        assertEquals(List.copyOf(mCache.entries().keySet()), List.of("b", "c", "d", "a"));
    }

    /** Guards against the recomputation of derived data at each lease renewal. */
    @Test
    public void unchangedEntryIsNotAModification() {
        long before = mCache.modificationCount();
        mCache.put("a", "entry of a");
        mCache.evict("unknown");
        assertEquals(mCache.modificationCount(), before);
        mCache.put("a", "newer");
        mCache.evict("b");
        mCache.onRemoved(Set.of("c"), 1_000);
        assertEquals(mCache.modificationCount(), before + 3);
    }
}
