package org.dahliapass.lab.capacity;

import java.util.List;

/** A benchmark of one component that drives its production classes. */
interface Benchmark {
    /** Runs the benchmark and returns its measurements. */
    List<Measurement> run(ResourceMeter meter);
}
