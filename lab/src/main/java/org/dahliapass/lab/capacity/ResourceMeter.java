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

/** Measures retained heap and the processor time of the calling thread. */
final class ResourceMeter {
    private static final int REPETITIONS = 5;
    private static final int HEAP_REPETITIONS = 3;
    private static final int COLLECTIONS = 2;
    private static final long WARM_UP_NANOS = 100_000_000;
    private static final long REPETITION_NANOS = 30_000_000;
    private static final double NANOS_PER_MICRO = 1_000;

    private final MemoryMXBean mMemory = ManagementFactory.getMemoryMXBean();
    private final ThreadMXBean mThreads = ManagementFactory.getThreadMXBean();

    /** Measures the retained heap of the object that the function builds for each size. */
    Measurement measureHeap(Quantity quantity, int[] sizes, IntFunction<Object> build) {
        List<Measurement.Point> points = new ArrayList<>();
        for (int size : sizes) {
            retainedBytes(() -> build.apply(size));
            double[] results = new double[HEAP_REPETITIONS];
            for (int i = 0; i < HEAP_REPETITIONS; i++) {
                results[i] = retainedBytes(() -> build.apply(size));
            }
            points.add(new Measurement.Point(size, Spread.of(results)));
        }
        return Measurement.of(quantity, points);
    }

    /**
     * Measures the processor time of the work that the function prepares for each size.
     *
     * @param perRun how many times one run performs the measured step
     */
    Measurement measureTime(
            Quantity quantity, int[] sizes, double perRun, IntFunction<Runnable> prepare) {
        List<Measurement.Point> points = new ArrayList<>();
        for (int size : sizes) {
            Runnable work = prepare.apply(size);
            runFor(WARM_UP_NANOS, work);
            double[] results = new double[REPETITIONS];
            for (int i = 0; i < REPETITIONS; i++) {
                results[i] = runFor(REPETITION_NANOS, work) / perRun;
            }
            points.add(new Measurement.Point(size, Spread.of(results)));
        }
        return Measurement.of(quantity, points);
    }

    /** Records deterministic values, such as the bytes of a message, without repetition. */
    static Measurement measureExact(Quantity quantity, int[] sizes, DoubleUnaryOperator value) {
        List<Measurement.Point> points = new ArrayList<>();
        for (int size : sizes) {
            points.add(new Measurement.Point(size, Spread.of(value.applyAsDouble(size))));
        }
        return Measurement.of(quantity, points);
    }

    private long retainedBytes(Supplier<Object> build) {
        long before = usedBytesAfterCollection();
        Object kept = build.get();
        try {
            return usedBytesAfterCollection() - before;
        } finally {
            Reference.reachabilityFence(kept);
        }
    }

    private long usedBytesAfterCollection() {
        for (int i = 0; i < COLLECTIONS; i++) {
            mMemory.gc();
        }
        return mMemory.getHeapMemoryUsage().getUsed();
    }

    /**
     * Runs the work for at least the given processor time and returns the mean microseconds per
     * run.
     */
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
