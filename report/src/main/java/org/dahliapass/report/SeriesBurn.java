package org.dahliapass.report;

import java.util.Comparator;
import java.util.List;

/**
 * The burn of one request kind of one customer in the whole fleet.
 *
 * @param customer the customer that asked
 * @param service the service's name in that customer's template
 * @param kind the request kind's name
 * @param objective the share of requests that shall be good
 * @param verdict what the burn rates mean
 * @param windows the burn over each window
 * @param course how requests ended in each step of {@link ReportTimeline}, oldest first
 */
record SeriesBurn(
        String customer,
        String service,
        String kind,
        double objective,
        Verdict verdict,
        WindowBurns windows,
        List<OutcomeTally> course) {
    /** The worst first: by verdict, then by the burn of the last hour. */
    static final Comparator<SeriesBurn> WORST_FIRST =
            Comparator.comparing(SeriesBurn::verdict)
                    .thenComparing(
                            Comparator.comparingDouble(SeriesBurn::oneHourBurnRate).reversed())
                    .thenComparing(SeriesBurn::qualifiedName);

    SeriesBurn {
        course = List.copyOf(course);
    }

    /** Returns the names of customer, service and kind in one text. */
    String qualifiedName() {
        return customer + " / " + service + " / " + kind;
    }

    private double oneHourBurnRate() {
        return windows.of(BurnWindow.ONE_HOUR).burnRate().orElse(0);
    }
}
