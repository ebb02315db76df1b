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
    private static final long NOW = 1_000;

    private StoreMirror mMirror;

    @BeforeMethod
    public void loadMirror() {
        mMirror = new StoreMirror();
        mMirror.load(List.of(item("a", 3), item("b", 7)), at(10), NOW);
    }

    @Test
    public void upToDateFollowerGetsNoChanges() {
        assertEquals(mMirror.changesAfter(at(10), false), Optional.empty());
    }

    @Test
    public void followerGetsOnlyNewerChanges() {
        mMirror.apply(List.of(written("a", 11)), at(11), NOW);
        mMirror.apply(List.of(new StoreEvent.Removed("b", 12)), at(12), NOW);
        WatchResponse.Changes changes =
                (WatchResponse.Changes) mMirror.changesAfter(at(11), false).orElseThrow();
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
                mMirror.changesAfter(at(9), false), Optional.of(new WatchResponse.Compacted(1)));
    }

    @Test
    public void oldChangesAreDiscarded() {
        for (int revision = 11; revision <= 3_000; revision++) {
            mMirror.apply(List.of(written("a", revision)), at(revision), NOW);
        }
        assertEquals(
                mMirror.changesAfter(at(10), false), Optional.of(new WatchResponse.Compacted(1)));
        assertTrue(
                mMirror.changesAfter(at(2_999), false).orElseThrow()
                        instanceof WatchResponse.Changes);
    }

    @Test
    public void snapshotContainsNewestValues() {
        mMirror.apply(List.of(written("c", 11), new StoreEvent.Removed("a", 12)), at(12), NOW);
        assertEquals(
                mMirror.snapshot().items().stream().map(StoredItem::key).toList(),
                List.of("b", "c"));
        assertEquals(mMirror.snapshot().revision(), at(12));
    }

    /** Guards against a configuration that is replaced by an older one of the store's copy. */
    @Test
    public void newerConfigurationIsKept() {
        mMirror.apply(List.of(written(configuration(52), 11)), at(11), NOW);
        mMirror.load(List.of(configuration(49)), restored(5), NOW);
        assertEquals(
                mMirror.item("op/config").orElseThrow().encoded(), configuration(52).encoded());
        mMirror.load(List.of(), restored(6), NOW);
        assertTrue(mMirror.item("op/config").isPresent());
        mMirror.apply(List.of(written(configuration(57), 7)), restored(7), NOW);
        assertEquals(
                mMirror.item("op/config").orElseThrow().encoded(), configuration(57).encoded());
        assertEquals(mMirror.carriedOverCount(), 0);
    }

    /** Guards against work for a target that said before the restore that it leaves. */
    @Test
    public void newerTargetStateIsKept() {
        mMirror.apply(List.of(written(target("draining", 8), 11)), at(11), NOW);
        List<StoredItem> items = mMirror.load(List.of(target("ready", 7)), restored(5), NOW);
        assertEquals(items.get(0).encoded(), target("draining", 8).encoded());
        mMirror.load(List.of(target("ready", 9)), restored(6), NOW);
        assertEquals(
                mMirror.item("servers/i-1").orElseThrow().encoded(), target("ready", 9).encoded());
    }

    /** Guards against a removed target that returns with the store's copy. */
    @Test
    public void removedTargetDoesNotReturn() {
        mMirror.apply(
                List.of(written(target("ready", 7), 11), new StoreEvent.Removed("servers/i-1", 12)),
                at(12),
                NOW);
        assertEquals(mMirror.load(List.of(target("ready", 7, 11)), restored(11), NOW), List.of());
        assertEquals(mMirror.load(List.of(target("ready", 6, 5)), restored(12), NOW), List.of());
        assertEquals(mMirror.load(List.of(target("ready", 8, 13)), restored(13), NOW).size(), 1);
    }

    /** An entry that was written again after its removal must not be taken for the removed one. */
    @Test
    public void removedTargetThatRegistersAgainIsKnown() {
        mMirror.apply(
                List.of(written(target("ready", 7), 11), new StoreEvent.Removed("servers/i-1", 12)),
                at(12),
                NOW);
        assertEquals(mMirror.load(List.of(target("ready", 7, 13)), at(13), NOW).size(), 1);
        mMirror.load(List.of(), restored(5), NOW);
        mMirror.apply(List.of(written(target("ready", 7), 6)), restored(6), NOW);
        assertEquals(mMirror.load(List.of(target("ready", 7, 6)), restored(7), NOW).size(), 1);
    }

    /** Guards against followers that read the whole copy after each restore of the store. */
    @Test
    public void followerGetsARestoreAsChanges() {
        mMirror.apply(List.of(written("c", 11)), at(11), NOW);
        mMirror.load(List.of(item("a", 3), StoredItem.of("b", "other", 9)), restored(9), NOW);
        assertEquals(
                changesAfter(at(10), false).events(),
                List.of(
                        written("c", 11),
                        new StoreEvent.Removed("c", 9),
                        new StoreEvent.Written(StoredItem.of("b", "other", 9))));
        assertEquals(changesAfter(at(10), false).revision(), restored(9));
    }

    /** Guards against a follower that waits at a number which the store has given out again. */
    @Test
    public void followerAtAReusedNumberGetsTheChanges() {
        mMirror.load(List.of(item("a", 3)), restored(10), NOW);
        assertEquals(
                changesAfter(at(10), false).events(), List.of(new StoreEvent.Removed("b", 10)));
        assertEquals(mMirror.changesAfter(restored(10), false), Optional.empty());
    }

    /** Guards against a follower that keeps what this VM never knew of the lost history. */
    @Test
    public void followerAheadOfTheLostHistoryGetsCompacted() {
        mMirror.load(List.of(item("a", 3)), restored(9), NOW);
        assertEquals(
                mMirror.changesAfter(at(11), false),
                Optional.of(new WatchResponse.Compacted(restored(9).epoch())));
    }

    /** Guards against a follower of a restore that this VM missed. */
    @Test
    public void followerOfAnUnknownEpochGetsCompacted() {
        mMirror.load(List.of(item("a", 3)), new StoreRevision(3, 9), NOW);
        assertTrue(
                mMirror.changesAfter(restored(8), false).orElseThrow()
                        instanceof WatchResponse.Compacted);
        assertTrue(changesAfter(at(10), false).events().size() > 0);
    }

    /** Guards against a VM that starts after a restore and learns only what the copy holds. */
    @Test
    public void followerFromTheStoreGetsWhatIsCarriedOver() {
        mMirror.apply(
                List.of(
                        written(configuration(52), 11),
                        written(target("ready", 7), 12),
                        new StoreEvent.Removed("servers/i-1", 13)),
                at(13),
                NOW);
        mMirror.load(List.of(configuration(49), target("ready", 7, 12)), restored(12), NOW);
        assertEquals(
                changesAfter(restored(12), true).events(),
                List.of(
                        new StoreEvent.Written(configuration(52, 11)),
                        new StoreEvent.Removed("servers/i-1", 12)));
        assertEquals(mMirror.changesAfter(restored(12), false), Optional.empty());
    }

    /** Guards against a follower's followers that get the same change again and again. */
    @Test
    public void carriedOverChangeIsHandedOnOnce() {
        StoreMirror follower = new StoreMirror();
        follower.load(List.of(configuration(49)), restored(12), NOW);
        follower.applyFromPeer(
                List.of(new StoreEvent.Written(configuration(52, 500))), restored(12), NOW);
        assertEquals(follower.changesAfter(restored(12), false), Optional.empty());
    }

    /** Guards against a store that goes back without raising its epoch. */
    @Test
    public void unannouncedRestoreStartsANewHistory() {
        mMirror.load(List.of(item("a", 3)), at(4), NOW);
        assertEquals(mMirror.revision(), at(4));
        assertTrue(
                mMirror.changesAfter(at(3), false).orElseThrow()
                        instanceof WatchResponse.Compacted);
        mMirror.apply(List.of(written("c", 5)), at(5), NOW);
        assertEquals(changesAfter(at(4), false).events(), List.of(written("c", 5)));
    }

    /** Guards against a second restore that hides the changes of the first one. */
    @Test
    public void followerGetsTwoRestores() {
        mMirror.load(List.of(item("a", 3)), restored(9), NOW);
        mMirror.load(List.of(item("a", 3), item("d", 6)), new StoreRevision(3, 6), NOW);
        assertEquals(
                changesAfter(at(10), false).events(),
                List.of(new StoreEvent.Removed("b", 9), written("d", 6)));
        assertEquals(changesAfter(restored(9), false).events(), List.of(written("d", 6)));
    }

    private WatchResponse.Changes changesAfter(StoreRevision after, boolean isFromStore) {
        return (WatchResponse.Changes) mMirror.changesAfter(after, isFromStore).orElseThrow();
    }

    private static StoredItem configuration(long version) {
        return configuration(version, 1);
    }

    private static StoredItem configuration(long version, long revision) {
        return StoredItem.of("op/config", "{\"routes\":{},\"version\":" + version + "}", revision);
    }

    private static StoredItem target(String state, long sequence) {
        return target(state, sequence, 1);
    }

    private static StoredItem target(String state, long sequence, long revision) {
        return StoredItem.of(
                "servers/i-1",
                "{\"state\":\"" + state + "\",\"seq_no\":" + sequence + "}",
                revision);
    }

    private static StoreEvent written(StoredItem item, long revision) {
        return new StoreEvent.Written(new StoredItem(item.key(), item.encoded(), revision));
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
