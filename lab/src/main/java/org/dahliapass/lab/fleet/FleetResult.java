package org.dahliapass.lab.fleet;

import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/**
 * What a run came to, all as shares.
 *
 * @param payoffRatio payoff earned of payoff owed
 * @param served requests served
 * @param refused requests refused, which didn't run
 * @param failed requests that failed or may have run
 * @param worstWindowsPayoffRatio payoff earned in the two worst windows of 2 seconds
 * @param extraAttempts tries beyond the first of each request, of requests
 * @param failedAttempts tries that targets failed, of tries
 * @param minUsedShare the least share of sound targets in use in any window of 2 seconds
 * @param windowsBelowFloor the number of such windows, one each half second, in which requests were
 *     lost while less than the floor share of the sound targets was in use
 * @param poisonCrashes targets that ended under a request that ends its targets
 * @param latePoisonDeliveries how often such a request reached a target later than 3 s after the
 *     third end
 * @param quarantined other requests that were kept from all targets for what ended beside them
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
        double quarantined) {
    /** The heading of the lines that {@link #line} writes. */
    static final String HEADER =
            String.format(
                    Locale.ROOT,
                    "%-18s %-10s %15s %7s %7s %7s %7s %7s %7s %7s %7s %7s %7s %7s",
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
                    "held");

    private static final double DEVIATIONS_95 = 1.96;

    /** Writes the means of several runs, the worth with its 95% interval. */
    static String line(String scenario, String placement, List<FleetResult> runs) {
        double mean = mean(runs, FleetResult::payoffRatio);
        double squares =
                runs.stream().mapToDouble(run -> Math.pow(run.payoffRatio() - mean, 2)).sum();
        double error = Math.sqrt(squares / Math.max(1, runs.size() - 1) / runs.size());
        return String.format(
                Locale.ROOT,
                "%-18s %-10s %.4f ± %.4f %7.4f %7.4f %7.4f %7.4f %7.4f %7.4f %7.4f %7.2f"
                        + " %7.2f %7.2f %7.5f",
                scenario,
                placement,
                mean,
                DEVIATIONS_95 * error,
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
                mean(runs, FleetResult::quarantined));
    }

    private static double mean(List<FleetResult> runs, ToDoubleFunction<FleetResult> figure) {
        return runs.stream().mapToDouble(figure).average().orElse(0);
    }
}
