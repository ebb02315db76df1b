package org.dahliapass.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.dahliapass.platform.StoreEvent;
import org.dahliapass.platform.StoreRevision;
import org.dahliapass.platform.StoredItem;
import org.dahliapass.platform.WatchResponse;
import org.dahliapass.standins.MetadataTable;
import org.testng.annotations.Test;

/**
 * A seeded soak of the mirrors of a fleet whose store is restored again and again, while the
 * operator and the targets write, and VMs fall behind, follow each other and start.
 */
public final class StoreRestoreFuzzTest {
    private static final int SEEDS = Integer.getInteger("dahliapass.fuzz.seeds", 200);
    private static final int STEPS = 400;
    private static final int WATCHERS = 3;
    private static final int VMS = 8;
    private static final int TARGETS = 6;
    private static final int MAX_BACKUPS = 5;
    private static final int SETTLING_ROUNDS = 3;
    private static final String CONFIGURATION = "op/config";

    /** Guards against a state that goes back, or that differs between VMs for good. */
    @Test
    public void restoresNeverTakeBackWhatIsInForce() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            new Run(seed).play();
        }
    }

    private enum TargetState {
        READY,
        DRAINING,
        GONE
    }

    private static final class Target {
        private final String mKey;
        private TargetState mState = TargetState.READY;
        private long mSequence;

        private Target(int number) {
            mKey = "servers/i-" + number;
        }
    }

    private static final class Vm {
        private StoreMirror mMirror = new StoreMirror();
        private boolean mIsFromStore;

        /** The highest sequence number seen of each target, and whether it was removed then. */
        private final Map<String, Long> mSequences = new HashMap<>();

        private final Map<String, Long> mRemovedAt = new HashMap<>();
        private long mVersion;
    }

    private static final class Run {
        private final long mSeed;
        private final SplittableRandom mRandom;
        private final MetadataTable mTable = new MetadataTable();
        private final List<MetadataTable.Backup> mBackups = new ArrayList<>();
        private final List<Vm> mVms = new ArrayList<>();
        private final List<Target> mTargets = new ArrayList<>();
        private long mVersion = 1;
        private long mNowMillis;

        private Run(long seed) {
            mSeed = seed;
            mRandom = new SplittableRandom(seed);
            for (int number = 0; number < TARGETS; number++) {
                mTargets.add(new Target(number));
            }
            writeConfiguration();
            mTargets.forEach(this::write);
            mBackups.add(mTable.backup(mNowMillis));
            for (int number = 0; number < VMS; number++) {
                mVms.add(new Vm());
                readStore(mVms.get(number));
            }
        }

        private void play() {
            for (int step = 0; step < STEPS; step++) {
                mNowMillis += mRandom.nextInt(100);
                step();
            }
            settle();
        }

        private void step() {
            switch (mRandom.nextInt(12)) {
                case 0 -> {
                    mVersion += 1 + mRandom.nextInt(3);
                    writeConfiguration();
                }
                case 1, 2 -> change(mTargets.get(mRandom.nextInt(TARGETS)));
                case 3 -> writeAgain();
                case 4 -> backUp();
                case 5 -> restoreAtTimes();
                case 6 -> restartAtTimes();
                case 7 -> mTable.compactHistory();
                default -> sync(mRandom.nextInt(VMS));
            }
        }

        private void change(Target target) {
            target.mState =
                    switch (target.mState) {
                        case READY -> TargetState.DRAINING;
                        case DRAINING -> TargetState.GONE;
                        case GONE -> TargetState.READY;
                    };
            write(target);
        }

        private void write(Target target) {
            if (target.mState == TargetState.GONE) {
                mTable.remove(target.mKey, mNowMillis);
                return;
            }
            target.mSequence++;
            put(target.mKey, entry(target));
        }

        private static String entry(Target target) {
            return "{\"state\":\"" + target.mState + "\",\"seq_no\":" + target.mSequence + "}";
        }

        private void writeConfiguration() {
            put(CONFIGURATION, "{\"version\":" + mVersion + "}");
        }

        private void put(String key, String value) {
            mTable.put(
                    key,
                    StoredItem.of(key, value, 0).encoded(),
                    MetadataTable.NO_LEASE,
                    mNowMillis);
        }

        /** Lets the writers write again what the store has lost. */
        private void writeAgain() {
            if (!holds(CONFIGURATION, "{\"version\":" + mVersion + "}")) {
                writeConfiguration();
            }
            for (Target target : mTargets) {
                boolean isGone = target.mState == TargetState.GONE;
                if (isGone ? holds(target.mKey) : !holds(target.mKey, entry(target))) {
                    write(target);
                }
            }
        }

        private boolean holds(String key) {
            return mTable.revisionOf(key, mNowMillis) > 0;
        }

        private boolean holds(String key, String value) {
            String encoded = StoredItem.of(key, value, 0).encoded();
            return mTable.range(key, mNowMillis).entries().stream()
                    .anyMatch(entry -> entry.value().equals(encoded));
        }

        private void backUp() {
            mBackups.add(mTable.backup(mNowMillis));
            if (mBackups.size() > MAX_BACKUPS) {
                mBackups.remove(0);
            }
        }

        private void restoreAtTimes() {
            if (mRandom.nextInt(3) == 0) {
                // A later restore may go back to a copy from before the earlier one.
                mTable.restore(mBackups.get(mRandom.nextInt(mBackups.size())), mNowMillis);
            }
        }

        private void restartAtTimes() {
            if (mRandom.nextInt(4) == 0) {
                int number = mRandom.nextInt(VMS);
                mVms.set(number, new Vm());
                readStore(mVms.get(number));
            }
        }

        private void sync(int number) {
            Vm vm = mVms.get(number);
            if (number < WATCHERS) {
                watchStore(vm);
            } else {
                watchPeer(vm, mVms.get(mRandom.nextInt(WATCHERS)));
            }
            check(vm);
        }

        private void watchStore(Vm vm) {
            StoreRevision known = vm.mMirror.revision();
            Optional<MetadataTable.History> history =
                    mTable.changes("", known.number(), mNowMillis);
            if (history.isEmpty() || history.get().epoch() != known.epoch()) {
                readStore(vm);
                return;
            }
            vm.mMirror.apply(
                    history.get().changes().stream().map(Run::event).toList(),
                    known.withNumber(history.get().revision()),
                    mNowMillis);
        }

        private void readStore(Vm vm) {
            MetadataTable.Snapshot snapshot = mTable.range("", mNowMillis);
            vm.mMirror.load(
                    snapshot.entries().stream().map(Run::item).toList(),
                    new StoreRevision(snapshot.epoch(), snapshot.revision()),
                    mNowMillis);
            vm.mIsFromStore = true;
        }

        private void watchPeer(Vm vm, Vm peer) {
            StoreRevision known = vm.mMirror.revision();
            if (known.epoch() > peer.mMirror.revision().epoch()) {
                return;
            }
            Optional<WatchResponse> response = peer.mMirror.changesAfter(known, vm.mIsFromStore);
            if (response.isEmpty()) {
                return;
            }
            if (response.get() instanceof WatchResponse.Changes changes) {
                vm.mMirror.applyFromPeer(
                        changes.events(),
                        changes.revision().compareTo(known) > 0 ? changes.revision() : known,
                        mNowMillis);
                vm.mIsFromStore = false;
                return;
            }
            StoreRevision revision = peer.mMirror.revision();
            if (revision.compareTo(known) >= 0) {
                vm.mMirror.loadFromPeer(peer.mMirror.snapshot().items(), revision, mNowMillis);
                vm.mIsFromStore = false;
            }
        }

        private void check(Vm vm) {
            long version = number(vm, CONFIGURATION, "version").orElse(0L);
            assertTrue(version >= vm.mVersion, this + ": version " + version);
            vm.mVersion = version;
            for (Target target : mTargets) {
                Optional<Long> sequence = number(vm, target.mKey, "seq_no");
                if (sequence.isEmpty()) {
                    vm.mRemovedAt.put(target.mKey, vm.mSequences.getOrDefault(target.mKey, 0L));
                    continue;
                }
                long seen = vm.mSequences.getOrDefault(target.mKey, 0L);
                assertTrue(sequence.get() >= seen, this + ": " + target.mKey + " went back");
                vm.mSequences.put(target.mKey, sequence.get());
            }
        }

        private static Optional<Long> number(Vm vm, String key, String field) {
            return vm.mMirror
                    .item(key)
                    .map(item -> new String(item.value(), java.nio.charset.StandardCharsets.UTF_8))
                    .map(text -> text.replaceAll(".*\"" + field + "\":(\\d+).*", "$1"))
                    .map(Long::parseLong);
        }

        private void settle() {
            writeAgain();
            for (int round = 0; round < SETTLING_ROUNDS; round++) {
                for (int number = 0; number < VMS; number++) {
                    sync(number);
                }
            }
            Map<String, String> expected = new TreeMap<>();
            mTable.range("", mNowMillis)
                    .entries()
                    .forEach(entry -> expected.put(entry.key(), entry.value()));
            assertFalse(expected.isEmpty());
            for (Vm vm : mVms) {
                Map<String, String> known = new TreeMap<>();
                vm.mMirror
                        .snapshot()
                        .items()
                        .forEach(item -> known.put(item.key(), item.encoded()));
                assertEquals(known.toString(), expected.toString(), toString());
            }
        }

        private static StoreEvent event(MetadataTable.Change change) {
            return change.entry()
                    .<StoreEvent>map(entry -> new StoreEvent.Written(item(entry)))
                    .orElseGet(() -> new StoreEvent.Removed(change.key(), change.revision()));
        }

        private static StoredItem item(MetadataTable.Entry entry) {
            return new StoredItem(entry.key(), entry.value(), entry.revision());
        }

        @Override
        public String toString() {
            return "seed " + mSeed;
        }
    }
}
