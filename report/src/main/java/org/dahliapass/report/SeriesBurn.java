package org.dahliapass.report;

import java.util.Comparator;
import java.util.List;

/**
 * The error budget burn of one request kind of one customer in the whole fleet.
 *
 * @param customer the customer that sent the requests
 * @param service the service's name in the customer's template
 * @param kind the request kind's name
 * @param objective the target share of good requests, 0 to 1
 * @param verdict the assessment of the burn rates
 * @param windows the burn over each window
 * @param course the outcomes in each step of {@link ReportTimeline}, oldest first
 */
record SeriesBurn(
        String customer,
        String service,
        String kind,
        double objective,
        Verdict verdict,
        WindowBurns windows,
        List<OutcomeTally> course) {
    /** Orders by verdict, worst first, then by descending burn rate of the last hour. */
    static final Comparator<SeriesBurn> WORST_FIRST =
            Comparator.comparing(SeriesBurn::verdict)
                    .thenComparing(
                            Comparator.comparingDouble(SeriesBurn::oneHourBurnRate).reversed())
                    .thenComparing(SeriesBurn::qualifiedName);

    SeriesBurn {
        course = List.copyOf(course);
    }

    /** Returns the names of customer, service and kind, separated by slashes. */
    String qualifiedName() {
        return customer + " / " + service + " / " + kind;
    }

    private double oneHourBurnRate() {
        return windows.of(BurnWindow.ONE_HOUR).burnRate().orElse(0);
    }
}
