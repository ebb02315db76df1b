package org.dahliapass.lab.limits;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.dahliapass.decisions.limits.LimitSharing;
import org.dahliapass.model.routing.RateLimit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a customer's limit holds for the sum of all VMs, by simulated demand and failures. */
public final class LimitSimulationTest {
    private static final int SEEDS = 3;
    private static final int VMS = 6;

    @DataProvider
    public Object[][] runs() {
        List<Object[]> runs = new ArrayList<>();
        for (LimitScenario scenario : LimitScenario.all()) {
            for (double rate : new double[] {8, 137}) {
                runs.add(new Object[] {scenario, rate});
            }
        }
        return runs.toArray(Object[][]::new);
    }

    /** The VMs together must not admit more than a customer's limit tolerates in any window. */
    @Test(dataProvider = "runs")
    public void sumOfAllVmsKeepsTheLimit(LimitScenario scenario, double rate) {
        for (LimitSharing sharing : List.of(LimitSharing.EVEN, LimitSharing.COUNTED)) {
            for (long seed = 0; seed < SEEDS; seed++) {
                LimitResult result = run(scenario, sharing, rate, seed);
                assertTrue(result.worstUse() <= 1, sharing + " seed " + seed + ": " + result);
            }
        }
    }

    /** Even shares refuse a customer below its limit whose clients are all at one VM. */
    @Test
    public void countedRequestsServeACustomerAtOneVm() {
        double even = run(LimitScenario.ONE_VM, LimitSharing.EVEN, 38, 1).refusedBelow();
        double counted = run(LimitScenario.ONE_VM, LimitSharing.COUNTED, 38, 1).refusedBelow();
        assertTrue(counted < even / 2, counted + " and " + even);
    }

    private static LimitResult run(
            LimitScenario scenario, LimitSharing sharing, double rate, long seed) {
        return new LimitSimulation(
                        scenario,
                        sharing,
                        VMS,
                        new RateLimit(rate, rate),
                        LimitSimulation.CUSTOMER_TOLERANCE,
                        seed)
                .run();
    }
}
