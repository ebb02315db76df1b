package org.dahliapass.lab.capacity;

import java.util.ArrayList;
import java.util.List;

/**
 * What control may cost a VM.
 *
 * @param processor share of one core
 * @param memory bytes of heap
 * @param bytes bytes a second
 */
record Budget(double processor, double memory, double bytes) {
    /** The letter's: 1.5% of a core, 32 MB and 8 KB a second. */
    static final Budget LETTER = new Budget(0.015, 32e6, 8e3);

    /** Returns what a cost exceeds; empty if it fits. */
    List<String> exceededBy(Cost cost) {
        List<String> exceeded = new ArrayList<>();
        if (cost.processor() > processor) {
            exceeded.add("processor");
        }
        if (cost.bytes() > bytes) {
            exceeded.add("bytes");
        }
        if (cost.memory() > memory) {
            exceeded.add("memory");
        }
        return exceeded;
    }

    /** Returns the verdict on a cost, in words. */
    String verdict(Cost cost) {
        List<String> exceeded = exceededBy(cost);
        return exceeded.isEmpty() ? "fits" : "does not fit: " + String.join(", ", exceeded);
    }
}
