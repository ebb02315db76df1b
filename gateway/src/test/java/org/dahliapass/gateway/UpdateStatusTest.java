package org.dahliapass.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import org.dahliapass.kernel.ManualClock;
import org.dahliapass.platform.StoreRevision;
import org.dahliapass.traffic.EntryMetrics;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link UpdateStatus}. */
public final class UpdateStatusTest {
    private ManualClock mClock;
    private UpdateStatus mStatus;

    @BeforeMethod
    public void start() {
        mClock = new ManualClock(Instant.ofEpochSecond(1_000));
        mStatus = new UpdateStatus(mClock, new EntryMetrics());
        mStatus.moveTo(new StoreRevision(1, 10));
        mStatus.recordUpdate();
    }

    /** Guards against a 404 for a new route while changes are missed. */
    @Test
    public void isNotUpToDateWhileChangesAreMissed() {
        mStatus.setConfirmedMillis(mClock::millis);
        assertTrue(mStatus.isUpToDate());
        mStatus.recordMissedChanges();
        assertFalse(mStatus.isUpToDate());
        mClock.advance(Duration.ofSeconds(2));
        assertEquals(mStatus.ageMillis(), 2_000);
        mStatus.recordUpdate();
        assertTrue(mStatus.isUpToDate());
    }

    /** Guards against a 404 by the state before a restore. */
    @Test
    public void isNotUpToDateOnceTheStoreNamedANewerEpoch() {
        assertTrue(mStatus.onEpoch(2));
        assertFalse(mStatus.onEpoch(2));
        assertFalse(mStatus.isUpToDate());
        mStatus.recordUpdate();
        assertFalse(mStatus.isUpToDate());
        mStatus.moveTo(new StoreRevision(2, 4));
        assertTrue(mStatus.isUpToDate());
    }

    @Test
    public void responseOfAnEarlierEpochIsOutdated() {
        mStatus.onEpoch(2);
        assertTrue(mStatus.isOutdated(1));
        assertFalse(mStatus.isOutdated(2));
        assertFalse(mStatus.isOutdated(mStatus.resolve(3)));
    }

    /** A response without an epoch is taken for one of the current epoch. */
    @Test
    public void unknownEpochIsTheCurrentOne() {
        assertEquals(mStatus.resolve(StoreRevision.NONE.withNumber(12)), new StoreRevision(1, 12));
        assertFalse(mStatus.onEpoch(StoreRevision.UNKNOWN_EPOCH));
    }

    /** Guards against a VM that waits for good for an epoch that a response named by mistake. */
    @Test
    public void wrongEpochIsReverted() {
        mStatus.onEpoch(99);
        assertEquals(mStatus.lowerBound(), new StoreRevision(99, 0));
        mClock.advance(Duration.ofSeconds(3));
        assertEquals(mStatus.outdatedMillis(), 3_000);
        mStatus.revertToEpoch(1);
        assertEquals(mStatus.lowerBound(), new StoreRevision(1, 10));
        assertEquals(mStatus.outdatedMillis(), 0);
    }
}
