package org.dahliapass.decisions.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.RequestKind;
import org.dahliapass.model.TargetInstance;
import org.dahliapass.model.VmIdentity;

/** Drives a queue with random events and checks each result against a simple model. */
final class QueueSimulation {
    /** A fault injected into the driver to verify the checks. */
    enum Fault {
        NONE,
        EXPIRED_FORGOTTEN,
        STALE_TIME,
        EXCLUSION_LOST
    }

    private static final int SLOTS = 3;
    private static final int TARGETS = 4;
    private static final int STEPS = 300;
    private static final List<RequestKind> KINDS =
            List.of(Kinds.LOOKUP, Kinds.LISTING, Kinds.SIGN_OFF, Kinds.EXTRACT);
    private static final VmIdentity PEER = new VmIdentity("b", 1);

    private final SplittableRandom mRandom;
    private final Fault mFault;
    private final SlotTable mSlots = new SlotTable(SLOTS, 1_000);
    private final AdmissionQueue<Set<Endpoint>> mQueue;
    private final LoadBalancer mBalancer;
    private final Map<QueueEntry<Set<Endpoint>>, String> mOutcomes = new HashMap<>();
    private final Set<QueueEntry<Set<Endpoint>>> mOffered = new HashSet<>();
    private final List<InFlight> mInFlight = new ArrayList<>();
    private List<WeightedTarget> mTargets = List.of();
    private long mNow = 10_000;

    QueueSimulation(long seed, Fault fault) {
        mRandom = new SplittableRandom(seed);
        mFault = fault;
        mBalancer = new LoadBalancer(mSlots, 0.5, mRandom.split());
        mQueue =
                new AdmissionQueue<>(
                        new QueueLimits(20, 12, 2),
                        mSlots,
                        mBalancer,
                        new ServiceTimeEstimator(),
                        mRandom.split());
        mSlots.onCell(new VmIdentity("a", 1), List.of(PEER));
        changeTargets();
    }

    void check() {
        for (int step = 0; step < STEPS; step++) {
            mNow += mRandom.nextInt(100);
            performAction(mRandom.nextInt(12));
        }
        while (!mInFlight.isEmpty()) {
            endRandomAttempt();
        }
        mNow += 100_000;
        recordExpired(mQueue.expire(mNow));
        assertEquals(mQueue.size(), 0, "entries left in the queue");
        assertEquals(mOutcomes.keySet(), mOffered, "entries that ended");
        assertEquals(mSlots.ownInFlightTotal(), 0, "slots still taken");
    }

    private void performAction(int choice) {
        switch (choice) {
            case 0 -> changeTargets();
            case 1 -> recordExpired(mQueue.expire(mNow));
            case 2 -> cancelFirstQueued();
            case 3 ->
                    mSlots.onPeerInFlight(PEER, Kinds.endpoint(mRandom.nextInt(TARGETS)), 2, mNow);
            case 4, 5, 6 -> endRandomAttempt();
            default -> offerRandomEntry();
        }
    }

    private void changeTargets() {
        mTargets =
                IntStream.range(0, TARGETS)
                        .mapToObj(
                                number ->
                                        new WeightedTarget(
                                                TargetInstance.atFixedAddress(
                                                        Kinds.endpoint(number)),
                                                "a",
                                                mRandom.nextInt(3) / 2.0,
                                                mRandom.nextBoolean()))
                        .toList();
        mBalancer.onTargets(mTargets);
        recordResult(mQueue.onSlotFreed(queueTime()));
    }

    private void offerRandomEntry() {
        RequestKind kind = KINDS.get(mRandom.nextInt(KINDS.size()));
        Set<Endpoint> excluded = Set.of(Kinds.endpoint(mRandom.nextInt(TARGETS)));
        QueueEntry<Set<Endpoint>> entry =
                new QueueEntry<>(
                        excluded,
                        "customer" + mRandom.nextInt(3),
                        kind,
                        mNow,
                        mNow + 1 + mRandom.nextInt((int) kind.deadline().toMillis()),
                        mFault == Fault.EXCLUSION_LOST ? Set.of() : excluded);
        mOffered.add(entry);
        Admission admission = mQueue.offer(entry, mNow);
        if (admission instanceof Admission.Dispatch dispatch) {
            recordDispatched(entry, dispatch.target());
        } else if (admission instanceof Admission.Refused refused) {
            recordOutcome(entry, "refused");
            assertTrue(refused.retryAfterMillis() >= 1_000, "floor of Retry-After");
        }
    }

    private void endRandomAttempt() {
        if (mInFlight.isEmpty()) {
            return;
        }
        InFlight attempt = mInFlight.remove(mRandom.nextInt(mInFlight.size()));
        recordResult(
                mQueue.onAttemptEnded(
                        attempt.entry(),
                        attempt.target(),
                        attempt.startedMillis(),
                        true,
                        queueTime()));
    }

    private void cancelFirstQueued() {
        for (QueueEntry<Set<Endpoint>> entry : mOffered) {
            boolean queued = !mOutcomes.containsKey(entry);
            assertEquals(mQueue.cancel(entry), queued, "cancelled a waiting entry");
            if (queued) {
                recordOutcome(entry, "cancelled");
                return;
            }
        }
    }

    private void recordResult(DispatchResult<Set<Endpoint>> result) {
        recordExpired(result.expired());
        for (DispatchedEntry<Set<Endpoint>> next : result.dispatched()) {
            assertTrue(mNow < next.entry().latestStartMillis(), "dispatched too late");
            recordDispatched(next.entry(), next.target());
        }
    }

    private void recordExpired(List<ExpiredEntry<Set<Endpoint>>> expired) {
        if (mFault != Fault.EXPIRED_FORGOTTEN) {
            expired.forEach(each -> recordOutcome(each.entry(), "expired"));
        }
    }

    private void recordDispatched(QueueEntry<Set<Endpoint>> entry, Endpoint target) {
        recordOutcome(entry, "dispatched");
        mInFlight.add(new InFlight(entry, target, mNow));
        boolean guarded = !entry.kind().idempotency().isRepeatable();
        assertTrue(
                mTargets.stream()
                        .filter(each -> each.endpoint().equals(target))
                        .anyMatch(
                                each ->
                                        each.weight() > 0
                                                && (each.acceptsAtMostOnce() || !guarded)),
                "dispatched to a target that may take it");
        assertTrue(!entry.request().contains(target), "dispatched to an excluded target");
        assertTrue(mSlots.ownInFlight(target) <= SLOTS, "more in flight than slots");
    }

    private void recordOutcome(QueueEntry<Set<Endpoint>> entry, String outcome) {
        assertNull(mOutcomes.put(entry, outcome), outcome + " after another end");
    }

    private long queueTime() {
        return mFault == Fault.STALE_TIME ? mNow - 2_000 : mNow;
    }

    private record InFlight(QueueEntry<Set<Endpoint>> entry, Endpoint target, long startedMillis) {}
}
