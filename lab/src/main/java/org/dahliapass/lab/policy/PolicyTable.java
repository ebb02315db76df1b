package org.dahliapass.lab.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

/** Runs the experiments for the table and for the tolerance curve. */
final class PolicyTable {
    /** The arrival rates, as shares of the capacity. */
    static final List<Double> LOADS = List.of(0.5, 0.8, 1.1);

    /** The tolerances of the curve. */
    static final List<Double> TOLERANCES = List.of(1e-6, 1e-4, 1e-3, 1e-2, 0.1, 1.0, 10.0, 100.0);

    private static final long SEED_STEP = 1_000_003;

    private final long mSeed;
    private final int mRuns;

    /**
     * Creates a table.
     *
     * @param runs the number of runs per row
     */
    PolicyTable(long seed, int runs) {
        mSeed = seed;
        mRuns = runs;
    }

    /** Returns one row per variant for a deployment, load and fault. */
    List<ResultRow> rows(Deployment deployment, double load, Fault fault) {
        return rows(deployment, load, fault, List.of(PolicyVariant.values()));
    }

    /** Returns the row of one variant. */
    ResultRow row(Deployment deployment, Fault fault, PolicyVariant variant, double load) {
        return rows(deployment, load, fault, List.of(variant)).get(0);
    }

    private List<ResultRow> rows(
            Deployment deployment, double load, Fault fault, List<PolicyVariant> variants) {
        // Runs share no state and keep their order, so the sums are deterministic.
        List<Measurement> runs =
                IntStream.range(0, variants.size() * mRuns)
                        .parallel()
                        .mapToObj(
                                number ->
                                        new Experiment(
                                                        deployment,
                                                        fault,
                                                        variants.get(number / mRuns),
                                                        load,
                                                        mSeed + number % mRuns * SEED_STEP)
                                                .run())
                        .toList();
        List<ResultRow> rows = new ArrayList<>();
        for (int index = 0; index < variants.size(); index++) {
            List<Measurement> variantRuns = runs.subList(index * mRuns, (index + 1) * mRuns);
            rows.add(ResultRow.of(deployment, fault, variants.get(index), load, variantRuns));
        }
        return rows;
    }
}
