package org.dahliapass.decisions.traffic;

import static org.quicktheories.QuickTheory.qt;
import static org.quicktheories.generators.SourceDSL.longs;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.dahliapass.decisions.availability.AvailabilityStatement;
import org.dahliapass.decisions.availability.TargetAvailability;
import org.dahliapass.decisions.limits.TargetLimitSharing;
import org.dahliapass.decisions.limits.TargetLimits;
import org.dahliapass.decisions.traffic.Admission.Dispatch;
import org.dahliapass.decisions.traffic.Admission.Queued;
import org.dahliapass.decisions.traffic.Admission.Refused;
import org.dahliapass.model.RequestKind;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link AdmissionQueue} with one target of three slots. */
public final class AdmissionQueueTest {
    private static final int CAPACITY_PER_CUSTOMER = 20;

    private SlotTable mSlots;
    private ServiceTimeEstimator mTimes;
    private TargetAvailability mAvailability;
    private LoadBalancer mBalancer;
    private AdmissionQueue<String> mQueue;

    @BeforeMethod
    public void startEmpty() {
        mSlots = new SlotTable(3, 1_000);
        mTimes = new ServiceTimeEstimator();
        mAvailability = new TargetAvailability(new SplittableRandom(3));
        mBalancer =
                new LoadBalancer(
                        "",
                        0,
                        mSlots,
                        0.5,
                        new SplittableRandom(1),
                        new PassiveFailureDetector(mTimes, mSlots),
                        new TargetLimits(TargetLimitSharing.FEW_VMS, new SplittableRandom(1)),
                        mAvailability);
        mBalancer.onTargets(Kinds.targets(1));
        QueueLimits limits = new QueueLimits(50, CAPACITY_PER_CUSTOMER, 2);
        mQueue = new AdmissionQueue<>(limits, mSlots, mBalancer, mTimes, new SplittableRandom(2));
    }

    @Test
    public void queuedEntryGetsTheNextFreeSlot() {
        QueueEntry<String> first = fillSlots();
        QueueEntry<String> second = entry("b", Kinds.LISTING, 0);
        assertTrue(mQueue.offer(second, 0) instanceof Queued);
        DispatchResult<String> result = end(first, 0, 50);
        assertEquals(result.dispatched().get(0).entry(), second);
        assertEquals(mSlots.ownInFlightTotal(), 3);
    }

    @Test
    public void refusesWithoutATarget() {
        mBalancer.onTargets(List.of(Kinds.target(0, 0)));
        assertRefused(mQueue.offer(entry("a", Kinds.LISTING, 0), 0), RefusalReason.NO_TARGET);
    }

    @DataProvider
    public Object[][] unavailable() {
        return new Object[][] {
            {
                new AvailabilityStatement(true, OptionalLong.empty(), List.of()),
                RefusalReason.NO_TARGET
            },
            {
                new AvailabilityStatement(false, OptionalLong.of(4_000), List.of()),
                RefusalReason.TARGETS_RESTING
            }
        };
    }

    /**
     * Guards against requests that wait for a target which takes none before their time is over.
     */
    @Test(dataProvider = "unavailable")
    public void queuedRequestIsRefusedOnceNoTargetTakesIt(
            AvailabilityStatement statement, RefusalReason reason) {
        QueueEntry<String> first = fillSlots();
        QueueEntry<String> second = entry("b", Kinds.LISTING, 0);
        assertTrue(mQueue.offer(second, 0) instanceof Queued);
        mAvailability.onStatement(Kinds.endpoint(0).toString(), statement, 0, 50);
        DispatchResult<String> result = end(first, 0, 50);
        assertEquals(result.dispatched(), List.of());
        assertEquals(result.expired().get(0).entry(), second);
        assertRefused(result.expired().get(0).refusal(), reason);
        assertRefused(mQueue.offer(entry("c", Kinds.LISTING, 60), 60), reason);
        assertEquals(mQueue.size(), 0);
    }

    /** Guards against a refusal that asks callers back before a target may get their requests. */
    @Test
    public void retryAfterCoversTheRest() {
        AvailabilityStatement rest =
                new AvailabilityStatement(false, OptionalLong.of(200_000), List.of());
        mAvailability.onStatement(Kinds.endpoint(0).toString(), rest, 0, 0);
        Refused refused = (Refused) mQueue.offer(entry("a", Kinds.LISTING, 0), 0);
        assertTrue(refused.retryAfterMillis() >= 200_000, refused.toString());
        assertTrue(mQueue.retryAfterRestMillis(Kinds.LISTING, 0) >= 200_000);
        assertEquals(mQueue.retryAfterRestMillis(Kinds.LISTING, 300_000), 0);
    }

    // With 1 s per request, 3 slots and 1 s of patience, the third queued entry would start too
    // late.
    @Test
    public void refusesWhenNoSlotBecomesFreeInTime() {
        mTimes.onAttemptEnded(Kinds.LOOKUP, 1_000, false, 0);
        fillSlots();
        assertTrue(mQueue.offer(entry("a", Kinds.LOOKUP, 0), 0) instanceof Queued);
        assertTrue(mQueue.offer(entry("a", Kinds.LOOKUP, 0), 0) instanceof Queued);
        Admission third = mQueue.offer(entry("a", Kinds.LOOKUP, 0), 0);
        assertRefused(third, RefusalReason.TOO_LATE);
        assertTrue(mQueue.offer(entry("a", Kinds.LISTING, 0), 0) instanceof Queued);
    }

    // The measured response time is short, but no slot has been released for five seconds.
    @Test
    public void refusesWhileTargetsHang() {
        mTimes.onAttemptEnded(Kinds.LOOKUP, 10, true, 0);
        fillSlots();
        QueueEntry<String> late = entry("a", Kinds.LOOKUP, 5_000);
        assertRefused(mQueue.offer(late, 5_000), RefusalReason.TOO_LATE);
        QueueEntry<String> patient = entry("a", Kinds.LISTING, 5_000);
        assertTrue(mQueue.offer(patient, 5_000) instanceof Queued);
    }

    @Test
    public void customerCannotExceedItsShareOfTheQueue() {
        fillSlots();
        for (int count = 0; count < CAPACITY_PER_CUSTOMER; count++) {
            assertTrue(mQueue.offer(entry("a", Kinds.LISTING, 0), 0) instanceof Queued);
        }
        Admission excess = mQueue.offer(entry("a", Kinds.LISTING, 0), 0);
        assertRefused(excess, RefusalReason.QUEUE_FULL);
        assertTrue(mQueue.offer(entry("b", Kinds.LISTING, 0), 0) instanceof Queued);
    }

    @Test
    public void floodsOfManyCustomersLeaveRoomForAnother() {
        fillSlots();
        for (int count = 0; count < 200; count++) {
            mQueue.offer(entry("flood" + count % 8, Kinds.LISTING, 0), 0);
        }
        assertTrue(mQueue.offer(entry("calm", Kinds.LISTING, 0), 0) instanceof Queued);
    }

    /**
     * Guards against a VM that is kept busy by searching for a target anew for each customer that
     * waits, at each response, while no target is free.
     */
    @Test
    public void waitingCustomersShareTheSearchForATarget() {
        long searches = searchesPerFreedSlot(1);
        assertTrue(searches > 0, "the search draws no random numbers");
        assertEquals(searchesPerFreedSlot(40), searches);
    }

    /** Returns how many random numbers the search for targets draws when a slot may be free. */
    private static long searchesPerFreedSlot(int customers) {
        CountingRandom random = new CountingRandom();
        SlotTable slots = new SlotTable(1, 1_000);
        LoadBalancer balancer = new LoadBalancer(slots, 0.5, random);
        balancer.onTargets(Kinds.targets(100));
        AdmissionQueue<String> queue =
                new AdmissionQueue<>(
                        new QueueLimits(1_000, 500, 2),
                        slots,
                        balancer,
                        new ServiceTimeEstimator(),
                        new SplittableRandom(2));
        for (int number = 0; number < 1_000; number++) {
            queue.offer(entry("customer" + number % customers, Kinds.LISTING, 0), 0);
        }
        assertTrue(queue.size() >= customers, queue.size() + " entries wait");
        long before = random.mDrawn;
        assertTrue(queue.onSlotFreed(1).dispatched().isEmpty());
        return random.mDrawn - before;
    }

    /** Counts the random numbers that are drawn. */
    private static final class CountingRandom implements RandomGenerator {
        private final RandomGenerator mRandom = new SplittableRandom(1);
        private long mDrawn;

        @Override
        public long nextLong() {
            mDrawn++;
            return mRandom.nextLong();
        }
    }

    @Test
    public void entryExpiresAtTheEndOfItsPatience() {
        fillSlots();
        QueueEntry<String> waiting = entry("a", Kinds.LOOKUP, 0);
        mQueue.offer(waiting, 0);
        assertEquals(mQueue.nextExpiryMillis().orElseThrow(), 1_000);
        assertTrue(mQueue.expire(999).isEmpty());
        ExpiredEntry<String> expired = mQueue.expire(1_000).get(0);
        assertEquals(expired.entry(), waiting);
        assertRefused(expired.refusal(), RefusalReason.WAIT_TIMED_OUT);
    }

    @Test
    public void atMostOnceGoesFirstAndBulkyIsNotStarved() {
        Deque<QueueEntry<String>> running = new ArrayDeque<>(List.of(fillSlots()));
        for (int count = 0; count < 8; count++) {
            mQueue.offer(entry("a", Kinds.LISTING, 0), 0);
            mQueue.offer(entry("a", Kinds.SIGN_OFF, 0), 0);
        }
        mQueue.offer(entry("b", Kinds.EXTRACT, 0), 0);
        StringBuilder order = new StringBuilder();
        for (int turn = 0; turn < 8; turn++) {
            DispatchedEntry<String> next = end(running.poll(), 0, 10).dispatched().get(0);
            order.append(next.entry().kind().name().charAt(0));
            running.add(next.entry());
        }
        assertEquals(order.charAt(0), 's', "first of " + order);
        assertTrue(order.indexOf("e") >= 0, "the extract has its turn in " + order);
    }

    @Test
    public void bulkyRequestsInFlightAreLimitedPerCustomer() {
        mBalancer.onTargets(Kinds.targets(5));
        assertTrue(mQueue.offer(entry("a", Kinds.EXTRACT, 0), 0) instanceof Dispatch);
        assertTrue(mQueue.offer(entry("a", Kinds.EXTRACT, 0), 0) instanceof Dispatch);
        assertTrue(mQueue.offer(entry("a", Kinds.EXTRACT, 0), 0) instanceof Queued);
        assertTrue(mQueue.offer(entry("b", Kinds.EXTRACT, 0), 0) instanceof Dispatch);
    }

    // Fails if the entries of one customer are dispatched before the earlier entry of another one.
    @Test
    public void floodOfOneCustomerDoesNotDelayOthers() {
        assertTrue(turnsWaitedDuringFlood("calm") <= 2, "turns waited");
        startEmpty();
        assertEquals(turnsWaitedDuringFlood("flood"), 10, "as a part of the flood");
    }

    @Test
    public void eachEntryEndsExactlyOnce() {
        checkSimulations(QueueSimulation.Fault.NONE);
    }

    @DataProvider
    public static Object[][] injectedFaults() {
        return new Object[][] {
            new Object[] {QueueSimulation.Fault.EXPIRED_FORGOTTEN, "cancelled a waiting entry"},
            new Object[] {QueueSimulation.Fault.STALE_TIME, "dispatched too late"},
            new Object[] {QueueSimulation.Fault.EXCLUSION_LOST, "to an excluded target"},
        };
    }

    @Test(dataProvider = "injectedFaults")
    public void injectedFaultIsDetected(QueueSimulation.Fault fault, String finding) {
        AssertionError error = expectThrows(AssertionError.class, () -> checkSimulations(fault));
        assertTrue(error.getMessage().contains(finding), error.getMessage());
    }

    private static void checkSimulations(QueueSimulation.Fault fault) {
        qt().withFixedSeed(1)
                .withExamples(200)
                .forAll(longs().all())
                .checkAssert(seed -> new QueueSimulation(seed, fault).check());
    }

    private int turnsWaitedDuringFlood(String customer) {
        QueueEntry<String> running = fillSlots();
        for (int count = 0; count < 9; count++) {
            mQueue.offer(entry("flood", Kinds.LISTING, 0), 0);
        }
        QueueEntry<String> probe = entry(customer, Kinds.LISTING, 1);
        mQueue.offer(probe, 1);
        int turns = 0;
        while (running != probe) {
            turns++;
            running = end(running, 0, 10).dispatched().get(0).entry();
            mQueue.offer(entry("flood", Kinds.LISTING, 10), 10);
        }
        return turns;
    }

    private QueueEntry<String> fillSlots() {
        QueueEntry<String> last = entry("z", Kinds.LOOKUP, 0);
        assertTrue(mQueue.offer(entry("z", Kinds.LOOKUP, 0), 0) instanceof Dispatch);
        assertTrue(mQueue.offer(entry("z", Kinds.LOOKUP, 0), 0) instanceof Dispatch);
        assertTrue(mQueue.offer(last, 0) instanceof Dispatch);
        return last;
    }

    private DispatchResult<String> end(QueueEntry<String> entry, long started, long now) {
        return mQueue.onAttemptEnded(entry, Kinds.endpoint(0), started, true, now);
    }

    /** Fails if limits computed before the targets were known stay in force. */
    @Test
    public void limitsCanGrowWithTheTargets() {
        mBalancer.onTargets(Kinds.targets(4));
        mQueue.setLimits(new QueueLimits(50, CAPACITY_PER_CUSTOMER, 1));
        long dispatched = offerExtracts(3);
        assertEquals(dispatched, 1);
        mQueue.setLimits(new QueueLimits(50, CAPACITY_PER_CUSTOMER, 3));
        assertEquals(mQueue.onSlotFreed(1).dispatched().size(), 2);
    }

    private long offerExtracts(int count) {
        long dispatched = 0;
        for (int number = 0; number < count; number++) {
            Admission admission = mQueue.offer(entry("customer", Kinds.EXTRACT, 0), 0);
            dispatched += admission instanceof Admission.Dispatch ? 1 : 0;
        }
        return dispatched;
    }

    private static QueueEntry<String> entry(String customer, RequestKind kind, long now) {
        long deadline = now + kind.deadline().toMillis();
        return new QueueEntry<>("", customer, kind, now, deadline, Set.of());
    }

    private static void assertRefused(Admission admission, RefusalReason reason) {
        assertTrue(admission instanceof Refused, "refused, not " + admission);
        Refused refused = (Refused) admission;
        assertEquals(refused.reason(), reason);
        assertTrue(refused.retryAfterMillis() >= 1_000, "floor of Retry-After");
    }
}
