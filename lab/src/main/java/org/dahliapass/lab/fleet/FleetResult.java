package org.dahliapass.lab.fleet;

import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/**
 * The results of one simulation run.
 *
 * @param payoffRatio payoff earned, as a share of the highest possible payoff
 * @param served the share of requests that were served
 * @param refused the share of requests that were refused and did not run
 * @param failed the share of requests that may have run and got no response
 * @param worstWindowsPayoffRatio the mean payoff ratio of the two worst windows of 2 seconds
 * @param extraAttempts attempts beyond the first, per request
 * @param failedAttempts the share of attempts that failed because of the target
 * @param minUsedShare the lowest share of healthy targets in use in any window of 2 seconds
 * @param windowsBelowFloor the number of these windows, one starting every 500 ms, in which
 *     requests were lost while the share of healthy targets in use was below the floor share
 * @param poisonCrashes the number of targets that poison requests crashed
 * @param latePoisonDeliveries the number of poison requests that reached a target more than 3 s
 *     after the third crash
 * @param quarantined harmless requests that were quarantined, per harmless request
 * @param limitWorstUse the most requests that a target with a request limit got in 4 s, as a share
 *     of what the limit tolerates
 * @param limitMeanUse the requests that targets with a request limit got, as a share of the limit
 * @param mostDuringRest the most requests that a target got from one VM that it had asked for a
 *     rest
 * @param lateToLeaving the requests that reached a leaving target more than 2 s after its VM knew
 * @param largestBurst the most requests that a target turned away in 100 ms
 * @param rejectedArrivals the share of the requests that arrived at targets after the first second
 *     of the middle third, until its end, and were rejected
 */
record FleetResult(
        double payoffRatio,
        double served,
        double refused,
        double failed,
        double worstWindowsPayoffRatio,
        double extraAttempts,
        double failedAttempts,
        double minUsedShare,
        double windowsBelowFloor,
        double poisonCrashes,
        double latePoisonDeliveries,
        double quarantined,
        double limitWorstUse,
        double limitMeanUse,
        double mostDuringRest,
        double lateToLeaving,
        double largestBurst,
        double rejectedArrivals) {
    /** The header of the lines that {@link #line} formats. */
    static final String HEADER =
            String.format(
                    Locale.ROOT,
                    "%-18s %-10s %15s %7s %7s %7s %7s %7s %7s %7s %7s %7s %7s %7s %7s %7s %7s %7s"
                            + " %7s %7s",
                    "scenario",
                    "placement",
                    "worth",
                    "served",
                    "refused",
                    "failed",
                    "worst",
                    "further",
                    "bad",
                    "used",
                    "floor",
                    "ended",
                    "late",
                    "held",
                    "limit",
                    "taken",
                    "rest",
                    "left",
                    "burst",
                    "reject");

    private static final double Z_95 = 1.96;

    /** Returns the means over several runs, the payoff ratio with its 95% confidence interval. */
    static String line(String scenario, String placement, List<FleetResult> runs) {
        double mean = mean(runs, FleetResult::payoffRatio);
        double squaredDeviations =
                runs.stream().mapToDouble(run -> Math.pow(run.payoffRatio() - mean, 2)).sum();
        double standardError =
                Math.sqrt(squaredDeviations / Math.max(1, runs.size() - 1) / runs.size());
        return String.format(
                Locale.ROOT,
                "%-18s %-10s %.4f ± %.4f %7.4f %7.4f %7.4f %7.4f %7.4f %7.4f %7.4f %7.2f"
                        + " %7.2f %7.2f %7.5f %7.2f %7.2f %7.0f %7.0f %7.0f %7.4f",
                scenario,
                placement,
                mean,
                Z_95 * standardError,
                mean(runs, FleetResult::served),
                mean(runs, FleetResult::refused),
                mean(runs, FleetResult::failed),
                mean(runs, FleetResult::worstWindowsPayoffRatio),
                mean(runs, FleetResult::extraAttempts),
                mean(runs, FleetResult::failedAttempts),
                mean(runs, FleetResult::minUsedShare),
                mean(runs, FleetResult::windowsBelowFloor),
                mean(runs, FleetResult::poisonCrashes),
                mean(runs, FleetResult::latePoisonDeliveries),
                mean(runs, FleetResult::quarantined),
                max(runs, FleetResult::limitWorstUse),
                mean(runs, FleetResult::limitMeanUse),
                max(runs, FleetResult::mostDuringRest),
                max(runs, FleetResult::lateToLeaving),
                max(runs, FleetResult::largestBurst),
                mean(runs, FleetResult::rejectedArrivals));
    }

    private static double max(List<FleetResult> runs, ToDoubleFunction<FleetResult> metric) {
        return runs.stream().mapToDouble(metric).max().orElse(0);
    }

    private static double mean(List<FleetResult> runs, ToDoubleFunction<FleetResult> metric) {
        return runs.stream().mapToDouble(metric).average().orElse(0);
    }
}
