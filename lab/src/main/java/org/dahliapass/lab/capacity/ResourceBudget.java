package org.dahliapass.lab.capacity;

import java.util.ArrayList;
import java.util.List;

/**
 * An upper bound on what the control plane may cost one VM.
 *
 * @param processor share of one core
 * @param memory bytes of heap
 * @param bytesPerSecond network bytes per second
 */
record ResourceBudget(double processor, double memory, double bytesPerSecond) {
    /** The budget of one VM: 1.5% of a core, 32 MB and 8 KB per second. */
    static final ResourceBudget PER_VM = new ResourceBudget(0.015, 32e6, 8e3);

    /** Returns the names of the exceeded resources; empty if the cost is within budget. */
    List<String> exceededBy(Cost cost) {
        List<String> exceeded = new ArrayList<>();
        if (cost.processor() > processor) {
            exceeded.add("processor");
        }
        if (cost.bytes() > bytesPerSecond) {
            exceeded.add("bytes");
        }
        if (cost.memory() > memory) {
            exceeded.add("memory");
        }
        return exceeded;
    }

    /** Returns the text for the report: "fits", or the exceeded resources. */
    String verdict(Cost cost) {
        List<String> exceeded = exceededBy(cost);
        return exceeded.isEmpty() ? "fits" : "does not fit: " + String.join(", ", exceeded);
    }
}
