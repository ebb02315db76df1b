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
        assertEquals(mMirror.changesAfter(at(10)), Optional.empty());
    }

    @Test
    public void followerGetsOnlyNewerChanges() {
        mMirror.apply(List.of(written("a", 11)), at(11));
        mMirror.apply(List.of(new StoreEvent.Removed("b", 12)), at(12));
        WatchResponse.Changes changes =
                (WatchResponse.Changes) mMirror.changesAfter(at(11)).orElseThrow();
        assertEquals(changes.events(), List.of(new StoreEvent.Removed("b", 12)));
        assertEquals(changes.revision(), at(12));
    }

    /**
     * Guards against a follower that misses removals: the mirror does not know the changes before
     * its snapshot, so an earlier follower must read a new snapshot.
     */
    @Test
    public void followerBeforeTheSnapshotGetsCompacted() {
        assertEquals(mMirror.changesAfter(at(9)), Optional.of(new WatchResponse.Compacted(1)));
    }

    @Test
    public void oldChangesAreDiscarded() {
        for (int revision = 11; revision <= 3_000; revision++) {
            mMirror.apply(List.of(written("a", revision)), at(revision));
        }
        assertEquals(mMirror.changesAfter(at(10)), Optional.of(new WatchResponse.Compacted(1)));
        assertTrue(mMirror.changesAfter(at(2_999)).orElseThrow() instanceof WatchResponse.Changes);
    }

    @Test
    public void snapshotContainsNewestValues() {
        mMirror.apply(List.of(written("c", 11), new StoreEvent.Removed("a", 12)), at(12));
        assertEquals(
                mMirror.snapshot().items().stream().map(StoredItem::key).toList(),
                List.of("b", "c"));
        assertEquals(mMirror.snapshot().revision(), at(12));
    }

    /** Guards against followers that read the whole copy after each restore of the store. */
    @Test
    public void followerGetsARestoreAsChanges() {
        mMirror.apply(List.of(written("c", 11)), at(11));
        mMirror.load(List.of(item("a", 3), StoredItem.of("b", "other", 9)), restored(9));
        assertEquals(
                changesAfter(at(10)).events(),
                List.of(
                        written("c", 11),
                        new StoreEvent.Removed("c", 9),
                        new StoreEvent.Written(StoredItem.of("b", "other", 9))));
        assertEquals(changesAfter(at(10)).revision(), restored(9));
    }

    /** Guards against a follower that waits at a number which the store has given out again. */
    @Test
    public void followerAtAReusedNumberGetsTheChanges() {
        mMirror.load(List.of(item("a", 3)), restored(10));
        assertEquals(changesAfter(at(10)).events(), List.of(new StoreEvent.Removed("b", 10)));
        assertEquals(mMirror.changesAfter(restored(10)), Optional.empty());
    }

    /** Guards against a follower that keeps what this VM never knew of the lost history. */
    @Test
    public void followerAheadOfTheLostHistoryGetsCompacted() {
        mMirror.load(List.of(item("a", 3)), restored(9));
        assertEquals(
                mMirror.changesAfter(at(11)),
                Optional.of(new WatchResponse.Compacted(restored(9).epoch())));
    }

    /** Guards against a follower of a restore that this VM missed. */
    @Test
    public void followerOfAnUnknownEpochGetsCompacted() {
        mMirror.load(List.of(item("a", 3)), new StoreRevision(3, 9));
        assertTrue(
                mMirror.changesAfter(restored(8)).orElseThrow() instanceof WatchResponse.Compacted);
        assertTrue(changesAfter(at(10)).events().size() > 0);
    }

    /** Guards against a store that goes back without raising its epoch. */
    @Test
    public void unannouncedRestoreStartsANewHistory() {
        mMirror.load(List.of(item("a", 3)), at(4));
        assertEquals(mMirror.revision(), at(4));
        assertTrue(mMirror.changesAfter(at(3)).orElseThrow() instanceof WatchResponse.Compacted);
        mMirror.apply(List.of(written("c", 5)), at(5));
        assertEquals(changesAfter(at(4)).events(), List.of(written("c", 5)));
    }

    /** Guards against a second restore that hides the changes of the first one. */
    @Test
    public void followerGetsTwoRestores() {
        mMirror.load(List.of(item("a", 3)), restored(9));
        mMirror.load(List.of(item("a", 3), item("d", 6)), new StoreRevision(3, 6));
        assertEquals(
                changesAfter(at(10)).events(),
                List.of(new StoreEvent.Removed("b", 9), written("d", 6)));
        assertEquals(changesAfter(restored(9)).events(), List.of(written("d", 6)));
    }

    private WatchResponse.Changes changesAfter(StoreRevision after) {
        return (WatchResponse.Changes) mMirror.changesAfter(after).orElseThrow();
    }

    /** Returns a position after the store was restored once. */
    private static StoreRevision restored(long number) {
        return new StoreRevision(2, number);
    }

    private static StoreRevision at(long number) {
        return new StoreRevision(1, number);
    }

    private static StoreEvent written(String key, long revision) {
        return new StoreEvent.Written(item(key, revision));
    }

    private static StoredItem item(String key, long revision) {
        return StoredItem.of(key, "value", revision);
    }
}
