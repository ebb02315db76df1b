package org.dahliapass.lab.capacity;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import org.dahliapass.model.burn.ErrorBudgetSnapshot;
import org.dahliapass.model.burn.Outcome;
import org.dahliapass.model.burn.OutcomeHistory;

/** Measures the counts for the burn report. */
final class BurnMeasures implements Measures {
    private static final int[] SERIES = {100, 300, 1_000};
    private static final int[] ANSWERS = {100, 1_000, 4_000};
    private static final int MOST_SERIES = 1_000;
    private static final double OBJECTIVE = 0.999;
    private static final long HOUR_MILLIS = 3_600_000;
    private static final long STEP_MILLIS = 10_000;

    @Override
    public List<Slope> take(Probe probe) {
        List<Slope> slopes = new ArrayList<>();
        slopes.add(probe.heap(Quantity.BURN_HEAP, SERIES, series -> filled(series, 1)));
        slopes.add(probe.time(Quantity.BURN_TIME, ANSWERS, 1, BurnMeasures::answers));
        slopes.add(Probe.exact(Quantity.BURN_BYTES, SERIES, series -> bytes((int) series)));
        return slopes;
    }

    /** Returns a ledger with one answer for each series at each of so many steps of time. */
    private static OutcomeHistory filled(int series, int steps) {
        OutcomeHistory ledger = new OutcomeHistory(MOST_SERIES);
        for (int step = 0; step < steps; step++) {
            for (int number = 0; number < series; number++) {
                record(ledger, number, step * STEP_MILLIS);
            }
        }
        return ledger;
    }

    private static void record(OutcomeHistory ledger, int number, long nowMillis) {
        String kind = SampleServices.KINDS.get(number % SampleServices.KINDS.size());
        String customer = "customer-" + number;
        ledger.record(customer, "service-7", kind, OBJECTIVE, Outcome.GOOD, nowMillis);
    }

    private static Runnable answers(int answers) {
        OutcomeHistory ledger = filled(MOST_SERIES, 1);
        return () -> {
            for (int answer = 0; answer < answers; answer++) {
                record(ledger, answer % MOST_SERIES, HOUR_MILLIS);
            }
        };
    }

    /** What the operators' endpoint answers after an hour in which every series was used. */
    private static double bytes(int series) {
        OutcomeHistory ledger = filled(series, (int) (HOUR_MILLIS / STEP_MILLIS));
        ErrorBudgetSnapshot snapshot =
                new ErrorBudgetSnapshot(
                        SampleFleet.identity(0).toString(),
                        0,
                        HOUR_MILLIS,
                        0,
                        ledger.buckets(HOUR_MILLIS));
        return new ObjectMapper().valueToTree(snapshot).toString().length();
    }
}
