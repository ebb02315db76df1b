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

/** Checks what must always hold of {@link TargetHealth}, under seeded random events. */
public class HealthPropertiesTest {
    private static final int SEEDS = 25;
    private static final int ROUNDS = 240;

    @Test
    public void ejectionNeverCrossesTheFloorAndNothingGoesToLeavingTargets() {
        for (long seed = 0; seed < SEEDS; seed++) {
            Optional<String> broken = new RandomEvents(seed, FloorPolicy.ENFORCED).run(ROUNDS);
            assertEquals(broken, Optional.empty(), "seed " + seed);
        }
    }

    @Test
    public void plantedFaultInTheFloorIsFound() {
        boolean found = false;
        for (long seed = 0; seed < SEEDS && !found; seed++) {
            found = new RandomEvents(seed, FloorPolicy.IGNORED).run(ROUNDS).isPresent();
        }
        assertTrue(found, "The random events never came near the floor.");
    }

    @Test
    public void serviceWhoseTargetsAllFailAlikeEjectsNobody() {
        // Something behind all targets goes bad and well again at random, fully or in part.
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
            assertFalse(cell.explained(Action.EJECTED), "seed " + seed);
        }
    }

    @Test
    public void healthyTargetsAreEjectedLessOftenThanTheToleranceAllows() {
        // 12 targets over 10 minutes are 2 target-hours a seed, each with 1% of its work failing.
        double tolerance = 0.25;
        double targetHours = 5 * 12 / 6.0;
        assertTrue(ejectionsOfHealthyTargets(tolerance, 5) <= tolerance * targetHours);
    }

    @Test
    public void targetThatFailsByTheFailureShareIsEjectedAtTheSameTolerance() {
        for (long seed = 0; seed < 5; seed++) {
            RandomGenerator random = new Random(seed);
            CellFixture cell = new CellFixture(2, 12, 0.25);
            cell.rounds(40, (vm, target) -> outcome(random, 0.01));
            cell.rounds(40, (vm, target) -> outcome(random, target == 0 ? 0.3 : 0.01));
            assertTrue(cell.explained(Action.EJECTED), "seed " + seed);
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

    /** Random sickness, path faults and stops, with what each VM may then do. */
    private static final class RandomEvents {
        private static final int VMS = 3;
        private static final int TARGETS = 8;
        private static final long RECENT_MILLIS = 10_000;
        private static final long LEAVING_HOLD_MILLIS = 30_000;

        private final RandomGenerator mRandom;
        private final CellFixture mCell;
        private final double[] mFailureRates = new double[TARGETS];
        private final boolean[][] mPathDown = new boolean[VMS][TARGETS];
        private final long[] mLeftMillis = new long[TARGETS];
        private final long[] mLastSuccessMillis = new long[TARGETS];

        RandomEvents(long seed, FloorPolicy floorRule) {
            mRandom = new Random(seed);
            mCell = new CellFixture(VMS, TARGETS, floorRule);
        }

        /** Returns what was broken first, if anything. */
        Optional<String> run(int rounds) {
            for (int round = 0; round < rounds; round++) {
                change();
                ServiceView[] before = views();
                mCell.round(this::work);
                for (int vm = 0; vm < VMS; vm++) {
                    Optional<String> broken = check(vm, before[vm], mCell.vm(vm).view());
                    if (broken.isPresent()) {
                        return broken;
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

        private Outcome work(int vm, int target) {
            if (mPathDown[vm][target]) {
                return Outcome.CONNECT_FAILED;
            }
            Outcome outcome = outcome(mRandom, mFailureRates[target]);
            if (outcome.isSuccess()) {
                mLastSuccessMillis[target] = mCell.mNowMillis;
            }
            return outcome;
        }

        private void change() {
            int target = mRandom.nextInt(TARGETS);
            int vm = mRandom.nextInt(VMS);
            switch (mRandom.nextInt(24)) {
                case 0, 1 -> mFailureRates[target] = mRandom.nextDouble();
                case 2 -> mFailureRates[target] = 0;
                case 3 -> mPathDown[vm][target] = !mPathDown[vm][target];
                case 4 -> tell(target, HealthReport.SERVING);
                case 5 -> tell(target, HealthReport.COLD);
                case 6 -> mCell.vm(vm).onProbe(endpoint(target), false, mCell.mNowMillis);
                case 7 -> stopRarely(target);
                default -> {}
            }
        }

        private void stopRarely(int target) {
            if (mRandom.nextInt(4) == 0) {
                mLeftMillis[target] = mCell.mNowMillis;
                tell(target, HealthReport.DRAINING);
            }
        }

        private void tell(int target, HealthReport report) {
            mCell.mVms.forEach(vm -> vm.onHealthReport(endpoint(target), report, mCell.mNowMillis));
        }

        private Optional<String> check(int vm, ServiceView before, ServiceView after) {
            boolean removed = false;
            int healthy = 0;
            for (int target = 0; target < TARGETS; target++) {
                TargetState earlier = before.targets().get(endpoint(target)).state();
                TargetState now = after.targets().get(endpoint(target)).state();
                removed |= earlier.receivesRequests() && !now.receivesRequests();
                boolean recent = mCell.mNowMillis - mLastSuccessMillis[target] <= RECENT_MILLIS;
                healthy += now == TargetState.ACTIVE && recent ? 1 : 0;
                if (mCell.mNowMillis - mLeftMillis[target] < LEAVING_HOLD_MILLIS
                        && after.weight(endpoint(target)) > 0) {
                    return Optional.of("VM " + vm + " sends work to leaving target " + target);
                }
            }
            int floor = CellFixture.template(TARGETS).floorTargets();
            return removed && healthy < floor
                    ? Optional.of("VM " + vm + " keeps " + healthy + " of a floor of " + floor)
                    : Optional.empty();
        }
    }
}
