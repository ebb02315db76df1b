package org.dahliapass.decisions.traffic;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.VmIdentity;

/**
 * Counts the slots that are taken at each target of one service: this VM's own exactly, those of
 * the cell's other VMs by their last reports.
 *
 * <p>Not safe for use by several threads: the caller guards each instance by a lock. Each call
 * costs at most O(VMs of the cell).
 */
public final class SlotTable {
    /** After this many half-lives a report counts for nothing and is dropped. */
    private static final int HALF_LIVES_KEPT = 4;

    private final int mSlotsPerTarget;
    private final long mHalfLifeMillis;
    private final Map<Endpoint, OwnUse> mOwn = new HashMap<>();
    private final Map<Endpoint, Map<VmIdentity, PeerReport>> mReports = new HashMap<>();
    private int mOwnTotal;
    private int mOwnBulkyTotal;
    private int mCellSize = 1;
    private int mRankInCell;

    /**
     * Starts with nothing in flight and this VM alone in the cell.
     *
     * @param slotsPerTarget requests that a target works on at once
     * @param halfLifeMillis the age at which a peer's report counts half, in milliseconds; longer
     *     than the time between reports
     */
    public SlotTable(int slotsPerTarget, long halfLifeMillis) {
        mSlotsPerTarget = slotsPerTarget;
        mHalfLifeMillis = halfLifeMillis;
    }

    /** Takes the live members of the cell, this VM among them; forgets reports of all others. */
    public void onCell(VmIdentity self, List<VmIdentity> members) {
        TreeSet<VmIdentity> sorted = new TreeSet<>(members);
        sorted.add(self);
        mCellSize = sorted.size();
        mRankInCell = sorted.headSet(self).size();
        mReports.values().forEach(reports -> reports.keySet().retainAll(sorted));
    }

    /** Forgets the reports on targets that aren't in this list. */
    public void retainTargets(List<WeightedTarget> targets) {
        mReports.keySet().retainAll(targets.stream().map(WeightedTarget::endpoint).toList());
    }

    /** Takes a peer's report of its own requests in flight at a target. */
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
     * Takes a whole report of a peer: it has nothing in flight at targets that aren't named.
     *
     * <p>Guards against a report that gets lost: the next one would not name a target whose last
     * request ended meanwhile, and its slot would look taken until the old count has faded.
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

    /** Takes a slot for a request of this VM. */
    public void acquire(Endpoint target, boolean bulky) {
        OwnUse use = mOwn.computeIfAbsent(target, unused -> new OwnUse());
        use.mInFlight++;
        mOwnTotal++;
        if (bulky) {
            use.mBulky++;
            mOwnBulkyTotal++;
        }
    }

    /**
     * Gives a slot back.
     *
     * @throws IllegalStateException if no such request is in flight: a slot was given back twice
     */
    public void release(Endpoint target, boolean bulky) {
        OwnUse use = mOwn.get(target);
        if (use == null || use.mInFlight == 0 || (bulky && use.mBulky == 0)) {
            throw new IllegalStateException(
                    "No request in flight at " + target + "; each start has exactly one end");
        }
        use.mInFlight--;
        mOwnTotal--;
        if (bulky) {
            use.mBulky--;
            mOwnBulkyTotal--;
        }
        if (use.mInFlight == 0) {
            mOwn.remove(target);
        }
    }

    /** Returns how many of this VM's requests are in flight at a target. */
    public int ownInFlight(Endpoint target) {
        OwnUse use = mOwn.get(target);
        return use == null ? 0 : use.mInFlight;
    }

    /** Returns how many of this VM's bulky requests are in flight at a target. */
    public int ownBulkyInFlight(Endpoint target) {
        OwnUse use = mOwn.get(target);
        return use == null ? 0 : use.mBulky;
    }

    /** Returns how many of this VM's requests are in flight at all targets. */
    public int ownInFlightTotal() {
        return mOwnTotal;
    }

    /** Returns how many of this VM's bulky requests are in flight at all targets. */
    public int ownBulkyInFlightTotal() {
        return mOwnBulkyTotal;
    }

    /** Returns the requests that a target works on at once. */
    public int slotsPerTarget() {
        return mSlotsPerTarget;
    }

    /** Returns the number of VMs in the cell, this one among them. */
    public int cellSize() {
        return mCellSize;
    }

    /** Estimates how many requests of the cell's other VMs are in flight at a target. */
    public double peersInFlight(Endpoint target, long nowMillis) {
        Map<VmIdentity, PeerReport> reports = mReports.get(target);
        if (reports == null) {
            return 0;
        }
        long oldest = nowMillis - HALF_LIVES_KEPT * mHalfLifeMillis;
        reports.values().removeIf(report -> report.atMillis() < oldest);
        double sum = 0;
        for (PeerReport report : reports.values()) {
            sum += report.inFlight() * trust(nowMillis - report.atMillis());
        }
        return sum;
    }

    /**
     * Returns how many slots of its own share this VM has left at a target.
     *
     * <p>Guards against reports that are late or wrong: they say "full" when the slots are long
     * free, and a VM that believed them would refuse work for nothing. Each slot belongs to one VM
     * of the cell, which may take it whatever the others report; the shares of all VMs add up to
     * the usable slots, so this alone never overloads a target.
     *
     * @param target the target
     * @param usableSlots the slots of the target that the cell may use now
     */
    public int ownFreeSlots(Endpoint target, int usableSlots) {
        return Math.max(0, ownShare(target, usableSlots) - ownInFlight(target));
    }

    /**
     * Estimates how many slots of a target nobody uses, whoever's share they are.
     *
     * @param target the target
     * @param usableSlots the slots of the target that the cell may use now
     * @param nowMillis the time, in milliseconds
     */
    public int unusedSlots(Endpoint target, int usableSlots, long nowMillis) {
        int others = (int) Math.round(peersInFlight(target, nowMillis));
        return Math.max(0, usableSlots - ownInFlight(target) - others);
    }

    /** Returns how many of a target's usable slots belong to this VM. */
    public int ownShare(Endpoint target, int usableSlots) {
        int whole = usableSlots / mCellSize;
        int rest = usableSlots % mCellSize;
        // All VMs must agree on it, and a record's own hash code may differ between runtimes.
        int place = Math.floorMod(31 * target.host().hashCode() + target.port(), mCellSize);
        int distance = Math.floorMod(mRankInCell - place, mCellSize);
        return distance < rest ? whole + 1 : whole;
    }

    /** Returns this VM's requests in flight at each target where it has any, to tell the peers. */
    public List<TargetInFlight> ownReport() {
        List<TargetInFlight> report = new ArrayList<>(mOwn.size());
        mOwn.forEach((target, use) -> report.add(new TargetInFlight(target, use.mInFlight)));
        return report;
    }

    /** Halves with each whole half-life, so that a report counts fully until the next is due. */
    private double trust(long ageMillis) {
        int halfLives = (int) (Math.max(0, ageMillis) / mHalfLifeMillis);
        return Math.scalb(1.0, -halfLives);
    }

    private record PeerReport(int inFlight, long atMillis) {}

    /** This VM's use of one target. */
    private static final class OwnUse {
        private int mInFlight;
        private int mBulky;
    }
}
