package org.dahliapass.lab.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

/** Runs the experiments of the table and of the curve. */
final class PolicyTable {
    /** The loads, as shares of the capacity. */
    static final List<Double> LOADS = List.of(0.5, 0.8, 1.1);

    /** The tolerances of the curve. */
    static final List<Double> TOLERANCES = List.of(1e-6, 1e-4, 1e-3, 1e-2, 0.1, 1.0, 10.0, 100.0);

    private static final long SEED_STEP = 1_000_003;

    private final long mSeed;
    private final int mRuns;

    /**
     * Prepares the table.
     *
     * @param runs the runs for each row
     */
    PolicyTable(long seed, int runs) {
        mSeed = seed;
        mRuns = runs;
    }

    /** Returns the rows of one deployment, load and fault, one for each contender. */
    List<ResultRow> rows(Deployment deployment, double load, Fault fault) {
        return rows(deployment, load, fault, List.of(PolicyVariant.values()));
    }

    /** Returns the row of one contender. */
    ResultRow row(Deployment deployment, Fault fault, PolicyVariant contender, double load) {
        return rows(deployment, load, fault, List.of(contender)).get(0);
    }

    private List<ResultRow> rows(
            Deployment deployment, double load, Fault fault, List<PolicyVariant> contenders) {
        // Runs share nothing and keep their order, so the sums don't depend on the threads.
        List<Measurement> runs =
                IntStream.range(0, contenders.size() * mRuns)
                        .parallel()
                        .mapToObj(
                                number ->
                                        new Experiment(
                                                        deployment,
                                                        fault,
                                                        contenders.get(number / mRuns),
                                                        load,
                                                        mSeed + number % mRuns * SEED_STEP)
                                                .run())
                        .toList();
        List<ResultRow> rows = new ArrayList<>();
        for (int index = 0; index < contenders.size(); index++) {
            List<Measurement> own = runs.subList(index * mRuns, (index + 1) * mRuns);
            rows.add(ResultRow.of(deployment, fault, contenders.get(index), load, own));
        }
        return rows;
    }
}
