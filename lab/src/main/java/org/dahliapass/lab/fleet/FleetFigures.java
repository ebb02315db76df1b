package org.dahliapass.lab.fleet;

import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/**
 * What a run came to, all as shares.
 *
 * @param worth payoff earned of payoff owed
 * @param served requests served
 * @param refused requests refused, which didn't run
 * @param failed requests that failed or may have run
 * @param worstWindows payoff earned in the two worst windows of 2 seconds
 * @param furtherTries tries beyond the first of each request, of requests
 * @param badTries tries that targets failed, of tries
 * @param leastUsed the least share of sound targets in use in any window of 2 seconds
 * @param windowsBelowFloor the number of such windows, one each half second, in which requests were
 *     lost while less than the floor share of the sound targets was in use
 * @param poisonEnds targets that ended under a request that ends its targets
 * @param poisonLate how often such a request reached a target later than 3 s after the third end
 * @param heldBack other requests that were kept from all targets for what ended beside them
 */
record FleetFigures(
        double worth,
        double served,
        double refused,
        double failed,
        double worstWindows,
        double furtherTries,
        double badTries,
        double leastUsed,
        double windowsBelowFloor,
        double poisonEnds,
        double poisonLate,
        double heldBack) {
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
    static String line(String scenario, String placement, List<FleetFigures> runs) {
        double mean = mean(runs, FleetFigures::worth);
        double squares = runs.stream().mapToDouble(run -> Math.pow(run.worth() - mean, 2)).sum();
        double error = Math.sqrt(squares / Math.max(1, runs.size() - 1) / runs.size());
        return String.format(
                Locale.ROOT,
                "%-18s %-10s %.4f ± %.4f %7.4f %7.4f %7.4f %7.4f %7.4f %7.4f %7.4f %7.2f"
                        + " %7.2f %7.2f %7.5f",
                scenario,
                placement,
                mean,
                DEVIATIONS_95 * error,
                mean(runs, FleetFigures::served),
                mean(runs, FleetFigures::refused),
                mean(runs, FleetFigures::failed),
                mean(runs, FleetFigures::worstWindows),
                mean(runs, FleetFigures::furtherTries),
                mean(runs, FleetFigures::badTries),
                mean(runs, FleetFigures::leastUsed),
                mean(runs, FleetFigures::windowsBelowFloor),
                mean(runs, FleetFigures::poisonEnds),
                mean(runs, FleetFigures::poisonLate),
                mean(runs, FleetFigures::heldBack));
    }

    private static double mean(List<FleetFigures> runs, ToDoubleFunction<FleetFigures> figure) {
        return runs.stream().mapToDouble(figure).average().orElse(0);
    }
}
