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
    private PassiveFailureDetector mDetector;
    private FloorSharePolicy mPolicy;

    @BeforeMethod
    public void start() {
        mDetector = new PassiveFailureDetector(new ServiceTimeEstimator(), new SlotTable(3, 1_000));
        mPolicy = new FloorSharePolicy(FLOOR_SHARE, mDetector);
    }

    @Test
    public void selectsTheBestWhileEnoughAreInUse() {
        markUsed(0, 8, NOW - 500);
        assertEquals(selectFromAll(), mBest);
    }

    @Test
    public void selectsIdleTargetsWhileTooFewAreInUse() {
        markUsed(0, 4, NOW - 500);
        assertEquals(selectFromAll(), mTargets.subList(4, TARGETS));
    }

    @Test
    public void prefersIdleTargetsAmongTheBest() {
        markUsed(0, 2, NOW - 500);
        assertEquals(selectFromAll(), mTargets.subList(2, 3));
    }

    @Test
    public void unusedTargetBecomesIdle() {
        markUsed(0, TARGETS, NOW - 1_500);
        assertEquals(selectFromAll(), mBest);
        markUsed(0, 3, NOW - 500);
        assertEquals(selectFromAll(), mTargets.subList(3, TARGETS));
    }

    @Test
    public void requestsOfOtherVmsCountAsUse() {
        List<TargetReport> report =
                mTargets.subList(0, 8).stream()
                        .map(target -> new TargetReport(target.endpoint(), 1, 1, none()))
                        .toList();
        mDetector.onPeerReport("vm-2", report, NOW - 500);
        assertEquals(selectFromAll(), mBest);
    }

    /** Lost responses make healthy targets look faulty, so all have to be in use. */
    @Test
    public void keepsMoreTargetsInUseWhileRequestsAreLost() {
        markUsed(0, 7, NOW - 500);
        assertEquals(selectFromAll(), mBest);
        for (int number = 0; number < 10; number++) {
            Object attempt = new Object();
            mDetector.onStarted(Kinds.SIGN_OFF, Kinds.endpoint(0), attempt, NOW - 500);
            mDetector.onEnded(
                    Kinds.SIGN_OFF,
                    Kinds.endpoint(0),
                    attempt,
                    NOW - 500,
                    Outcome.FAILURE,
                    NOW - 400);
        }
        assertEquals(selectFromAll(), mTargets.subList(7, TARGETS));
    }

    @Test
    public void selectsTheBestWithoutAFloor() {
        mPolicy = new FloorSharePolicy(0, mDetector);
        assertEquals(selectFromAll(), mBest);
    }

    private static OptionalLong none() {
        return OptionalLong.empty();
    }

    private List<WeightedTarget> selectFromAll() {
        return mPolicy.select(mBest, mTargets, mTargets, NOW);
    }

    /** Starts a request at each target of a range. */
    private void markUsed(int from, int until, long atMillis) {
        for (int number = from; number < until; number++) {
            mDetector.onStarted(Kinds.LOOKUP, Kinds.endpoint(number), new Object(), atMillis);
        }
    }
}
