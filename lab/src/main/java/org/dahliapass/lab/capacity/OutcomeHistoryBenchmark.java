package org.dahliapass.lab.capacity;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import org.dahliapass.model.burn.ErrorBudgetSnapshot;
import org.dahliapass.model.burn.Outcome;
import org.dahliapass.model.burn.OutcomeHistory;

/** Measures the outcome counts behind the error budget report. */
final class OutcomeHistoryBenchmark implements Benchmark {
    private static final int[] SERIES = {100, 300, 1_000};
    private static final int[] RESPONSES = {100, 1_000, 4_000};
    private static final int MAX_SERIES = 1_000;
    private static final double OBJECTIVE = 0.999;
    private static final long HOUR_MILLIS = 3_600_000;
    private static final long STEP_MILLIS = 10_000;

    @Override
    public List<Measurement> run(ResourceMeter meter) {
        List<Measurement> measurements = new ArrayList<>();
        measurements.add(
                meter.measureHeap(Quantity.BURN_HEAP, SERIES, series -> filled(series, 1)));
        measurements.add(
                meter.measureTime(
                        Quantity.BURN_TIME, RESPONSES, 1, OutcomeHistoryBenchmark::responses));
        measurements.add(
                ResourceMeter.measureExact(
                        Quantity.BURN_BYTES, SERIES, series -> bytes((int) series)));
        return measurements;
    }

    /** Returns a history with one outcome per series and time step. */
    private static OutcomeHistory filled(int series, int steps) {
        OutcomeHistory history = new OutcomeHistory(MAX_SERIES);
        for (int step = 0; step < steps; step++) {
            for (int number = 0; number < series; number++) {
                record(history, number, step * STEP_MILLIS);
            }
        }
        return history;
    }

    private static void record(OutcomeHistory history, int number, long nowMillis) {
        String kind = SampleServices.KINDS.get(number % SampleServices.KINDS.size());
        String customer = "customer-" + number;
        history.record(customer, "service-7", kind, OBJECTIVE, Outcome.GOOD, nowMillis);
    }

    private static Runnable responses(int responses) {
        OutcomeHistory history = filled(MAX_SERIES, 1);
        return () -> {
            for (int response = 0; response < responses; response++) {
                record(history, response % MAX_SERIES, HOUR_MILLIS);
            }
        };
    }

    /**
     * Returns the size of the operators' endpoint's response when every series was used for an
     * hour.
     */
    private static double bytes(int series) {
        OutcomeHistory history = filled(series, (int) (HOUR_MILLIS / STEP_MILLIS));
        ErrorBudgetSnapshot snapshot =
                new ErrorBudgetSnapshot(
                        SampleFleet.identity(0).toString(),
                        0,
                        HOUR_MILLIS,
                        0,
                        history.buckets(HOUR_MILLIS));
        return new ObjectMapper().valueToTree(snapshot).toString().length();
    }
}
