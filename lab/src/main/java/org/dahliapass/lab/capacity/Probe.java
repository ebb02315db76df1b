package org.dahliapass.lab.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;
import java.lang.management.ThreadMXBean;
import java.lang.ref.Reference;
import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleUnaryOperator;
import java.util.function.IntFunction;
import java.util.function.Supplier;

/** Measures heap and processor time of the calling thread. */
final class Probe {
    private static final int REPETITIONS = 5;
    private static final int HEAP_REPETITIONS = 3;
    private static final int COLLECTIONS = 2;
    private static final long WARM_UP_NANOS = 100_000_000;
    private static final long REPETITION_NANOS = 30_000_000;
    private static final double NANOS_PER_MICRO = 1_000;

    private final MemoryMXBean mMemory = ManagementFactory.getMemoryMXBean();
    private final ThreadMXBean mThreads = ManagementFactory.getThreadMXBean();

    /** Measures the retained heap of what the function builds at each size. */
    Slope heap(Quantity quantity, int[] sizes, IntFunction<Object> build) {
        List<Slope.Point> points = new ArrayList<>();
        for (int size : sizes) {
            retained(() -> build.apply(size));
            double[] results = new double[HEAP_REPETITIONS];
            for (int i = 0; i < HEAP_REPETITIONS; i++) {
                results[i] = retained(() -> build.apply(size));
            }
            points.add(new Slope.Point(size, Spread.of(results)));
        }
        return Slope.of(quantity, points);
    }

    /**
     * Measures the processor time of the work that the function prepares for each size.
     *
     * @param perRun how often one run of the work does what the quantity names
     */
    Slope time(Quantity quantity, int[] sizes, double perRun, IntFunction<Runnable> prepare) {
        List<Slope.Point> points = new ArrayList<>();
        for (int size : sizes) {
            Runnable work = prepare.apply(size);
            runFor(WARM_UP_NANOS, work);
            double[] results = new double[REPETITIONS];
            for (int i = 0; i < REPETITIONS; i++) {
                results[i] = runFor(REPETITION_NANOS, work) / perRun;
            }
            points.add(new Slope.Point(size, Spread.of(results)));
        }
        return Slope.of(quantity, points);
    }

    /** Takes values that are the same each time, such as the bytes of a message. */
    static Slope exact(Quantity quantity, int[] sizes, DoubleUnaryOperator value) {
        List<Slope.Point> points = new ArrayList<>();
        for (int size : sizes) {
            points.add(new Slope.Point(size, Spread.of(value.applyAsDouble(size))));
        }
        return Slope.of(quantity, points);
    }

    private long retained(Supplier<Object> build) {
        long before = settledBytes();
        Object kept = build.get();
        try {
            return settledBytes() - before;
        } finally {
            Reference.reachabilityFence(kept);
        }
    }

    private long settledBytes() {
        for (int i = 0; i < COLLECTIONS; i++) {
            mMemory.gc();
        }
        return mMemory.getHeapMemoryUsage().getUsed();
    }

    /** Runs the work for some processor time and returns the microseconds of one run. */
    private double runFor(long nanos, Runnable work) {
        long start = mThreads.getCurrentThreadCpuTime();
        long used = 0;
        long runs = 0;
        while (used < nanos) {
            work.run();
            runs++;
            used = mThreads.getCurrentThreadCpuTime() - start;
        }
        return used / NANOS_PER_MICRO / runs;
    }
}
