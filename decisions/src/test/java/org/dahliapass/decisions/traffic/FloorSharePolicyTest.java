package org.dahliapass.decisions.traffic;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.OptionalLong;
import org.dahliapass.decisions.health.Outcome;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link FloorSharePolicy}. */
public final class FloorSharePolicyTest {
    private static final int TARGETS = 10;
    private static final long NOW = 10_000;
    private static final double FLOOR_SHARE = 0.7;

    private final List<WeightedTarget> mTargets = Kinds.targets(TARGETS);
    private final List<WeightedTarget> mBest = mTargets.subList(0, 3);
    private PassiveFailureDetector mEvidence;
    private FloorSharePolicy mFloor;

    @BeforeMethod
    public void start() {
        mEvidence = new PassiveFailureDetector(new ServiceTimeEstimator(), new SlotTable(3, 1_000));
        mFloor = new FloorSharePolicy(FLOOR_SHARE, mEvidence);
    }

    /** Nothing else is looked at while as many are in use as there have to be. */
    @Test
    public void bestTargetsAreChosenAmongWhileEnoughAreInUse() {
        use(0, 8, NOW - 500);
        assertEquals(amongAll(), mBest);
    }

    /**
     * Half of the targets get nothing although nothing speaks against them: the work of the others
     * proves those again and again.
     */
    @Test
    public void targetsOutOfUseAreChosenAmongWhileTooFewAreInUse() {
        use(0, 4, NOW - 500);
        assertEquals(amongAll(), mTargets.subList(4, TARGETS));
    }

    @Test
    public void targetOutOfUseThatIsAmongTheBestGoesFirst() {
        use(0, 2, NOW - 500);
        assertEquals(amongAll(), mTargets.subList(2, 3));
    }

    /** Use goes stale: a target that got its last work long ago is out of use. */
    @Test
    public void useCountsForAWhileOnly() {
        use(0, TARGETS, NOW - 1_500);
        assertEquals(amongAll(), mBest);
        use(0, 3, NOW - 500);
        assertEquals(amongAll(), mTargets.subList(3, TARGETS));
    }

    /** What another VM has in flight is in use as well. */
    @Test
    public void workOfOtherVmsCounts() {
        List<TargetReport> report =
                mTargets.subList(0, 8).stream()
                        .map(target -> new TargetReport(target.endpoint(), 1, 1, none()))
                        .toList();
        mEvidence.onPeerReport("vm-2", report, NOW - 500);
        assertEquals(amongAll(), mBest);
    }

    /** Answers that are lost on their way look like unsound targets, so all have to be in use. */
    @Test
    public void moreTargetsAreInUseWhileWorkIsLost() {
        use(0, 7, NOW - 500);
        assertEquals(amongAll(), mBest);
        for (int number = 0; number < 10; number++) {
            Object work = new Object();
            mEvidence.onStarted(Kinds.SIGN_OFF, Kinds.endpoint(0), work, NOW - 500);
            mEvidence.onEnded(
                    Kinds.SIGN_OFF, Kinds.endpoint(0), work, NOW - 500, Outcome.FAILURE, NOW - 400);
        }
        assertEquals(amongAll(), mTargets.subList(7, TARGETS));
    }

    @Test
    public void withoutAFloorTheBestAreChosenAmong() {
        mFloor = new FloorSharePolicy(0, mEvidence);
        assertEquals(amongAll(), mBest);
    }

    private static OptionalLong none() {
        return OptionalLong.empty();
    }

    private List<WeightedTarget> amongAll() {
        return mFloor.select(mBest, mTargets, mTargets, NOW);
    }

    /** Gives work to the targets from one number up to another one. */
    private void use(int from, int until, long atMillis) {
        for (int number = from; number < until; number++) {
            mEvidence.onStarted(Kinds.LOOKUP, Kinds.endpoint(number), new Object(), atMillis);
        }
    }
}
