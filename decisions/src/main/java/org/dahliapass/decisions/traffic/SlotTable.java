package org.dahliapass.decisions.traffic;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.VmIdentity;

/**
 * Counts the slots in use at each target of one service: exactly for this VM, and by their last
 * reports for the other VMs of the cell.
 *
 * <p>Not thread-safe; guarded by the service's lock. A call is at most O(VMs of the cell).
 */
public final class SlotTable {
    /** Reports older than this many half-lives are dropped. */
    private static final int MAX_HALF_LIVES = 4;

    private final long mHalfLifeMillis;
    private final Map<Endpoint, OwnSlots> mOwnSlots = new HashMap<>();
    private final Map<Endpoint, Map<VmIdentity, PeerReport>> mReports = new HashMap<>();
    private int mSlotsPerTarget;
    private int mOwnTotal;
    private int mOwnBulkyTotal;
    private int mCellSize = 1;
    private int mRankInCell;

    /**
     * Creates a table with nothing in flight, for a cell of this VM alone.
     *
     * @param slotsPerTarget requests that a target processes concurrently
     * @param halfLifeMillis the half-life of the weight of a peer's report, in milliseconds; longer
     *     than the report interval
     */
    public SlotTable(int slotsPerTarget, long halfLifeMillis) {
        mSlotsPerTarget = slotsPerTarget;
        mHalfLifeMillis = halfLifeMillis;
    }

    /** Sets the requests that a target processes concurrently. */
    public void setSlotsPerTarget(int slotsPerTarget) {
        mSlotsPerTarget = slotsPerTarget;
    }

    /** Sets the live members of the cell, including this VM; drops the reports of all others. */
    public void onCell(VmIdentity self, List<VmIdentity> members) {
        TreeSet<VmIdentity> sorted = new TreeSet<>(members);
        sorted.add(self);
        mCellSize = sorted.size();
        mRankInCell = sorted.headSet(self).size();
        mReports.values().forEach(reports -> reports.keySet().retainAll(sorted));
    }

    /** Drops the reports on targets that aren't in this list. */
    public void retainTargets(List<WeightedTarget> targets) {
        mReports.keySet().retainAll(targets.stream().map(WeightedTarget::endpoint).toList());
    }

    /** Records a peer's number of requests in flight to a target. */
    public void onPeerInFlight(VmIdentity observer, Endpoint target, int inFlight, long nowMillis) {
        Map<VmIdentity, PeerReport> reports =
                mReports.computeIfAbsent(target, unused -> new HashMap<>());
        if (inFlight <= 0) {
            reports.remove(observer);
            return;
        }
        reports.put(observer, new PeerReport(inFlight, nowMillis));
    }

    /**
     * Records a complete report of a peer; targets that it doesn't list have none of its requests
     * in flight.
     *
     * <p>Clears the counts of unlisted targets, since an earlier report of the change may have been
     * lost.
     */
    public void onPeerReport(VmIdentity observer, Map<Endpoint, Integer> inFlight, long nowMillis) {
        mReports.forEach(
                (target, reports) -> {
                    if (!inFlight.containsKey(target)) {
                        reports.remove(observer);
                    }
                });
        inFlight.forEach((target, count) -> onPeerInFlight(observer, target, count, nowMillis));
    }

    /** Acquires a slot for a request of this VM. */
    public void acquire(Endpoint target, boolean bulky) {
        OwnSlots own = mOwnSlots.computeIfAbsent(target, unused -> new OwnSlots());
        own.mInFlight++;
        mOwnTotal++;
        if (bulky) {
            own.mBulky++;
            mOwnBulkyTotal++;
        }
    }

    /**
     * Releases a slot.
     *
     * @throws IllegalStateException if no such request is in flight, because the slot was released
     *     twice
     */
    public void release(Endpoint target, boolean bulky) {
        OwnSlots own = mOwnSlots.get(target);
        if (own == null || own.mInFlight == 0 || (bulky && own.mBulky == 0)) {
            throw new IllegalStateException(
                    "No request in flight at " + target + "; each start has exactly one end");
        }
        own.mInFlight--;
        mOwnTotal--;
        if (bulky) {
            own.mBulky--;
            mOwnBulkyTotal--;
        }
        if (own.mInFlight == 0) {
            mOwnSlots.remove(target);
        }
    }

    /** Returns the number of this VM's requests in flight to a target. */
    public int ownInFlight(Endpoint target) {
        OwnSlots own = mOwnSlots.get(target);
        return own == null ? 0 : own.mInFlight;
    }

    /** Returns the number of this VM's bulky requests in flight to a target. */
    public int ownBulkyInFlight(Endpoint target) {
        OwnSlots own = mOwnSlots.get(target);
        return own == null ? 0 : own.mBulky;
    }

    /** Returns the number of this VM's requests in flight to all targets. */
    public int ownInFlightTotal() {
        return mOwnTotal;
    }

    /** Returns the number of this VM's bulky requests in flight to all targets. */
    public int ownBulkyInFlightTotal() {
        return mOwnBulkyTotal;
    }

    /** Returns the number of requests that a target processes concurrently. */
    public int slotsPerTarget() {
        return mSlotsPerTarget;
    }

    /** Returns the number of VMs in the cell, including this one. */
    public int cellSize() {
        return mCellSize;
    }

    /** Estimates the number of requests in flight from the cell's other VMs to a target. */
    public double peersInFlight(Endpoint target, long nowMillis) {
        Map<VmIdentity, PeerReport> reports = mReports.get(target);
        if (reports == null) {
            return 0;
        }
        long oldest = nowMillis - MAX_HALF_LIVES * mHalfLifeMillis;
        reports.values().removeIf(report -> report.atMillis() < oldest);
        double sum = 0;
        for (PeerReport report : reports.values()) {
            sum += report.inFlight() * weight(nowMillis - report.atMillis());
        }
        return sum;
    }

    /**
     * Returns how many slots of its own share this VM has free at a target.
     *
     * <p>The own share doesn't depend on the reports of other VMs, so late or wrong reports can't
     * block it. The shares of all VMs add up to the usable slots, so they can't overload a target.
     *
     * @param target the target
     * @param usableSlots the slots of the target that the cell may use now
     */
    public int ownFreeSlots(Endpoint target, int usableSlots) {
        return Math.max(0, ownShare(target, usableSlots) - ownInFlight(target));
    }

    /**
     * Estimates the number of unused slots of a target, whichever VM's share they belong to.
     *
     * @param target the target
     * @param usableSlots the slots of the target that the cell may use now
     * @param nowMillis the current time, in milliseconds
     */
    public int unusedSlots(Endpoint target, int usableSlots, long nowMillis) {
        int peers = (int) Math.round(peersInFlight(target, nowMillis));
        return Math.max(0, usableSlots - ownInFlight(target) - peers);
    }

    /** Returns how many of a target's usable slots belong to this VM. */
    public int ownShare(Endpoint target, int usableSlots) {
        int whole = usableSlots / mCellSize;
        int rest = usableSlots % mCellSize;
        // All VMs must compute the same value, and a record's hash code may differ between
        // runtimes.
        int offset = Math.floorMod(31 * target.host().hashCode() + target.port(), mCellSize);
        int distance = Math.floorMod(mRankInCell - offset, mCellSize);
        return distance < rest ? whole + 1 : whole;
    }

    /**
     * Returns this VM's requests in flight to each target that has any, for the report to the
     * peers.
     */
    public List<TargetInFlight> ownReport() {
        List<TargetInFlight> report = new ArrayList<>(mOwnSlots.size());
        mOwnSlots.forEach((target, own) -> report.add(new TargetInFlight(target, own.mInFlight)));
        return report;
    }

    /** Returns the weight of a report, which halves after each whole half-life. */
    private double weight(long ageMillis) {
        int halfLives = (int) (Math.max(0, ageMillis) / mHalfLifeMillis);
        return Math.scalb(1.0, -halfLives);
    }

    private record PeerReport(int inFlight, long atMillis) {}

    /** The slots of one target that this VM uses. */
    private static final class OwnSlots {
        private int mInFlight;
        private int mBulky;
    }
}
