package org.dahliapass.gateway;

import java.time.Clock;
import java.util.function.LongSupplier;
import org.dahliapass.kernel.JsonObject;
import org.dahliapass.platform.StoreRevision;
import org.dahliapass.traffic.EntryMetrics;

/**
 * How far this VM has followed the changes in the store, and when it last heard of them.
 *
 * <p>Changed by the control thread; any thread may read it.
 */
final class UpdateStatus implements ConfigurationStatus {
    /**
     * The maximum age of the last update of an up-to-date VM: a change must take effect within 2
     * seconds, and a source responds about every second.
     */
    private static final long MAX_UPDATE_AGE_MILLIS = 1_500;

    private final Clock mClock;
    private final EntryMetrics mMetrics;
    private volatile UpdateOrigin mOrigin = UpdateOrigin.NONE;

    /** The newest epoch that any response of the store named. */
    private volatile long mNewestEpoch = StoreRevision.UNKNOWN_EPOCH;

    /** The time at which the newest epoch was named first, in milliseconds. */
    private volatile long mNewestEpochMillis;

    /** Whether changes were missed, so that a snapshot has to be read. */
    private volatile boolean mHasMissedChanges;

    /** The time of the last update from the store or a VM that watches it, in milliseconds. */
    private volatile long mLastUpdateMillis = Long.MIN_VALUE / 2;

    /** Returns the time of the latest response of the store while this VM watches it. */
    private volatile LongSupplier mConfirmedMillis = () -> Long.MIN_VALUE / 2;

    UpdateStatus(Clock clock, EntryMetrics metrics) {
        mClock = clock;
        mMetrics = metrics;
    }

    /** Returns the position in the store's history up to which changes are applied. */
    StoreRevision revision() {
        return mOrigin.revision();
    }

    /**
     * Sets the supplier of the time up to which the store confirms that there are no other changes,
     * in milliseconds; any thread may call it.
     */
    void setConfirmedMillis(LongSupplier confirmedMillis) {
        mConfirmedMillis = confirmedMillis;
    }

    /**
     * Returns the earliest position that a linearizable read which starts now can return: the
     * current one, or the start of a newer epoch.
     */
    synchronized StoreRevision lowerBound() {
        StoreRevision revision = mOrigin.revision();
        return mNewestEpoch > revision.epoch() ? new StoreRevision(mNewestEpoch, 0) : revision;
    }

    /** Returns the name of the source that is followed; empty before the first one. */
    String source() {
        return mOrigin.source();
    }

    void setSource(String source) {
        mOrigin = new UpdateOrigin(source, mOrigin.revision());
    }

    /** Sets the position up to which changes are applied. */
    synchronized void moveTo(StoreRevision revision) {
        mOrigin = new UpdateOrigin(mOrigin.source(), revision);
        mNewestEpoch = Math.max(mNewestEpoch, revision.epoch());
        mMetrics.onStoreRevision(revision.epoch(), revision.number());
    }

    /** Returns the position with the current epoch if its own is unknown. */
    StoreRevision resolve(StoreRevision revision) {
        return new StoreRevision(resolve(revision.epoch()), revision.number());
    }

    /** Returns the epoch, or the current one if it is unknown. */
    long resolve(long epoch) {
        return epoch == StoreRevision.UNKNOWN_EPOCH ? mOrigin.revision().epoch() : epoch;
    }

    /**
     * Records an epoch that the store named; any thread may call this.
     *
     * @return whether it is newer than all before
     */
    synchronized boolean onEpoch(long epoch) {
        if (epoch <= mNewestEpoch) {
            return false;
        }
        mNewestEpoch = epoch;
        mNewestEpochMillis = mClock.millis();
        return true;
    }

    /** Forgets a newer epoch that the store itself has proved wrong. */
    synchronized void revertToEpoch(long epoch) {
        mNewestEpoch = epoch;
    }

    /** Returns the newest epoch that any response of the store named. */
    long newestEpoch() {
        return mNewestEpoch;
    }

    /** Returns for how long this VM has known of a newer epoch than its own, in milliseconds. */
    long outdatedMillis() {
        boolean isOutdated = mNewestEpoch > mOrigin.revision().epoch();
        return isOutdated ? mClock.millis() - mNewestEpochMillis : 0;
    }

    /** Returns whether a response comes from an epoch that has ended. */
    boolean isOutdated(long epoch) {
        return epoch < mNewestEpoch;
    }

    /** Records that all changes up to now are applied. */
    void recordUpdate() {
        mHasMissedChanges = false;
        mLastUpdateMillis = mClock.millis();
    }

    /** Records that the changes since the current position are not available. */
    void recordMissedChanges() {
        mHasMissedChanges = true;
    }

    /** Returns whether a snapshot has to be read before changes can be followed again. */
    boolean hasMissedChanges() {
        return mHasMissedChanges || mNewestEpoch > mOrigin.revision().epoch();
    }

    long lastUpdateMillis() {
        return mLastUpdateMillis;
    }

    /** Returns the time since this VM last knew the newest configuration, in milliseconds. */
    long ageMillis() {
        long knownMillis =
                hasMissedChanges()
                        ? mLastUpdateMillis
                        : Math.max(mLastUpdateMillis, mConfirmedMillis.getAsLong());
        return mClock.millis() - knownMillis;
    }

    @Override
    public boolean isUpToDate() {
        return !hasMissedChanges() && ageMillis() <= MAX_UPDATE_AGE_MILLIS;
    }

    @Override
    public void describe(JsonObject line) {
        mOrigin.describe(line)
                .put("newest_epoch", mNewestEpoch)
                .put("missed_changes", mHasMissedChanges)
                .put("update_age_ms", ageMillis());
    }
}
