package org.dahliapass.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.dahliapass.platform.StoreEvent;
import org.dahliapass.platform.StoreRevision;
import org.dahliapass.platform.StoredItem;
import org.dahliapass.platform.WatchResponse;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link StoreMirror}. */
public final class StoreMirrorTest {
    private StoreMirror mMirror;

    @BeforeMethod
    public void loadMirror() {
        mMirror = new StoreMirror();
        mMirror.load(List.of(item("a", 3), item("b", 7)), at(10));
    }

    @Test
    public void upToDateFollowerGetsNoChanges() {
        assertEquals(mMirror.changesAfter(10), Optional.empty());
    }

    @Test
    public void followerGetsOnlyNewerChanges() {
        mMirror.apply(List.of(written("a", 11)), at(11));
        mMirror.apply(List.of(new StoreEvent.Removed("b", 12)), at(12));
        WatchResponse.Changes changes =
                (WatchResponse.Changes) mMirror.changesAfter(11).orElseThrow();
        assertEquals(changes.events(), List.of(new StoreEvent.Removed("b", 12)));
        assertEquals(changes.revision(), at(12));
    }

    /**
     * Guards against a follower that misses removals: the mirror does not know the changes before
     * its snapshot, so an earlier follower must read a new snapshot.
     */
    @Test
    public void followerBeforeTheSnapshotGetsCompacted() {
        assertEquals(
                mMirror.changesAfter(9),
                Optional.of(new WatchResponse.Compacted(StoreRevision.UNKNOWN_EPOCH)));
    }

    @Test
    public void oldChangesAreDiscarded() {
        for (int revision = 11; revision <= 3_000; revision++) {
            mMirror.apply(List.of(written("a", revision)), at(revision));
        }
        assertEquals(
                mMirror.changesAfter(10),
                Optional.of(new WatchResponse.Compacted(StoreRevision.UNKNOWN_EPOCH)));
        assertTrue(mMirror.changesAfter(2_999).orElseThrow() instanceof WatchResponse.Changes);
    }

    @Test
    public void snapshotContainsNewestValues() {
        mMirror.apply(List.of(written("c", 11), new StoreEvent.Removed("a", 12)), at(12));
        assertEquals(
                mMirror.snapshot().items().stream().map(StoredItem::key).toList(),
                List.of("b", "c"));
        assertEquals(mMirror.snapshot().revision(), at(12));
    }

    private static StoreRevision at(long number) {
        return StoreRevision.NONE.withNumber(number);
    }

    private static StoreEvent written(String key, long revision) {
        return new StoreEvent.Written(item(key, revision));
    }

    private static StoredItem item(String key, long revision) {
        return StoredItem.of(key, "value", revision);
    }
}
