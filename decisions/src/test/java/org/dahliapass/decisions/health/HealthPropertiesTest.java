package org.dahliapass.decisions.health;

import static org.dahliapass.decisions.health.CellFixture.endpoint;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import java.util.Random;
import java.util.random.RandomGenerator;
import org.dahliapass.model.explain.Action;
import org.testng.annotations.Test;

/** Checks invariants of {@link TargetHealth} under seeded random events. */
public class HealthPropertiesTest {
    private static final int SEEDS = 25;
    private static final int ROUNDS = 240;

    @Test
    public void ejectionsRespectTheFloorAndLeavingTargetsReceiveNoRequests() {
        for (long seed = 0; seed < SEEDS; seed++) {
            Optional<String> violation = new RandomEvents(seed, FloorPolicy.ENFORCED).run(ROUNDS);
            assertEquals(violation, Optional.empty(), "seed " + seed);
        }
    }

    @Test
    public void disabledFloorIsDetected() {
        boolean found = false;
        for (long seed = 0; seed < SEEDS && !found; seed++) {
            found = new RandomEvents(seed, FloorPolicy.IGNORED).run(ROUNDS).isPresent();
        }
        assertTrue(found, "no violation found with the floor disabled in " + SEEDS + " seeds");
    }

    @Test
    public void targetsThatAllFailAlikeAreNotEjected() {
        // A dependency of all targets fails at random, fully or partially.
        for (long seed = 0; seed < SEEDS; seed++) {
            RandomGenerator random = new Random(seed);
            CellFixture cell = new CellFixture(3, 12);
            double failureRate = 0;
            for (int round = 0; round < ROUNDS; round++) {
                if (random.nextInt(40) == 0) {
                    failureRate = random.nextBoolean() ? 0.01 : random.nextDouble();
                }
                double rate = failureRate;
                cell.round((vm, target) -> outcome(random, rate));
            }
            assertFalse(cell.hasExplanation(Action.EJECTED), "seed " + seed);
        }
    }

    @Test
    public void falseEjectionsStayWithinTheTolerance() {
        // 12 targets over 10 minutes are 2 target-hours per seed, with 1% of the requests failing.
        double tolerance = 0.25;
        double targetHours = 5 * 12 / 6.0;
        assertTrue(ejectionsOfHealthyTargets(tolerance, 5) <= tolerance * targetHours);
    }

    @Test
    public void targetAtTheFailureShareIsEjectedAtTheSameTolerance() {
        for (long seed = 0; seed < 5; seed++) {
            RandomGenerator random = new Random(seed);
            CellFixture cell = new CellFixture(2, 12, 0.25);
            cell.rounds(40, (vm, target) -> outcome(random, 0.01));
            cell.rounds(40, (vm, target) -> outcome(random, target == 0 ? 0.3 : 0.01));
            assertTrue(cell.hasExplanation(Action.EJECTED), "seed " + seed);
        }
    }

    private static long ejectionsOfHealthyTargets(double tolerance, int seeds) {
        long ejections = 0;
        for (long seed = 0; seed < seeds; seed++) {
            RandomGenerator random = new Random(seed);
            CellFixture cell = new CellFixture(2, 12, tolerance);
            cell.rounds(10 * 60 * 4, (vm, target) -> outcome(random, 0.01));
            ejections += cell.count(Action.EJECTED);
        }
        return ejections;
    }

    private static Outcome outcome(RandomGenerator random, double failureRate) {
        return random.nextDouble() < failureRate ? Outcome.FAILURE : Outcome.SUCCESS;
    }

    /** Applies random target faults, path faults and shutdowns, and checks the invariants. */
    private static final class RandomEvents {
        private static final int VMS = 3;
        private static final int TARGETS = 8;
        private static final long RECENT_MILLIS = 10_000;
        private static final long LEAVING_HOLD_MILLIS = 30_000;

        private final RandomGenerator mRandom;
        private final CellFixture mCell;
        private final double[] mFailureRates = new double[TARGETS];
        private final boolean[][] mPathDown = new boolean[VMS][TARGETS];
        private final long[] mLeavingMillis = new long[TARGETS];
        private final long[] mLastSuccessMillis = new long[TARGETS];

        RandomEvents(long seed, FloorPolicy floorPolicy) {
            mRandom = new Random(seed);
            mCell = new CellFixture(VMS, TARGETS, floorPolicy);
        }

        /** Returns the first violation; empty without one. */
        Optional<String> run(int rounds) {
            for (int round = 0; round < rounds; round++) {
                applyRandomEvent();
                ServiceView[] before = views();
                mCell.round(this::outcomeOf);
                for (int vm = 0; vm < VMS; vm++) {
                    Optional<String> violation = check(vm, before[vm], mCell.vm(vm).view());
                    if (violation.isPresent()) {
                        return violation;
                    }
                }
            }
            return Optional.empty();
        }

        private ServiceView[] views() {
            ServiceView[] views = new ServiceView[VMS];
            for (int vm = 0; vm < VMS; vm++) {
                views[vm] = mCell.vm(vm).view();
            }
            return views;
        }

        private Outcome outcomeOf(int vm, int target) {
            if (mPathDown[vm][target]) {
                return Outcome.CONNECT_FAILED;
            }
            Outcome outcome = outcome(mRandom, mFailureRates[target]);
            if (outcome.isSuccess()) {
                mLastSuccessMillis[target] = mCell.mNowMillis;
            }
            return outcome;
        }

        private void applyRandomEvent() {
            int target = mRandom.nextInt(TARGETS);
            int vm = mRandom.nextInt(VMS);
            switch (mRandom.nextInt(24)) {
                case 0, 1 -> mFailureRates[target] = mRandom.nextDouble();
                case 2 -> mFailureRates[target] = 0;
                case 3 -> mPathDown[vm][target] = !mPathDown[vm][target];
                case 4 -> report(target, HealthReport.SERVING);
                case 5 -> report(target, HealthReport.COLD);
                case 6 -> mCell.vm(vm).onProbe(endpoint(target), false, mCell.mNowMillis);
                case 7 -> drainOccasionally(target);
                default -> {}
            }
        }

        private void drainOccasionally(int target) {
            if (mRandom.nextInt(4) == 0) {
                mLeavingMillis[target] = mCell.mNowMillis;
                report(target, HealthReport.DRAINING);
            }
        }

        private void report(int target, HealthReport report) {
            mCell.mVms.forEach(vm -> vm.onHealthReport(endpoint(target), report, mCell.mNowMillis));
        }

        private Optional<String> check(int vm, ServiceView before, ServiceView after) {
            boolean excluded = false;
            int healthy = 0;
            for (int target = 0; target < TARGETS; target++) {
                TargetState previous = before.targets().get(endpoint(target)).state();
                TargetState current = after.targets().get(endpoint(target)).state();
                excluded |= previous.receivesRequests() && !current.receivesRequests();
                boolean recent = mCell.mNowMillis - mLastSuccessMillis[target] <= RECENT_MILLIS;
                healthy += current == TargetState.ACTIVE && recent ? 1 : 0;
                if (mCell.mNowMillis - mLeavingMillis[target] < LEAVING_HOLD_MILLIS
                        && after.weight(endpoint(target)) > 0) {
                    return Optional.of("VM " + vm + " sends requests to leaving target " + target);
                }
            }
            int floor = CellFixture.template(TARGETS).floorTargets();
            return excluded && healthy < floor
                    ? Optional.of(
                            "VM "
                                    + vm
                                    + " excluded a target with "
                                    + healthy
                                    + " healthy targets, floor "
                                    + floor)
                    : Optional.empty();
        }
    }
}
