package org.dahliapass.lab.capacity;

/**
 * The resources that one VM spends on a component.
 *
 * @param messages messages per second, sent and received
 * @param bytes bytes per second, sent and received, including transport headers
 * @param processor share of one core
 * @param memory bytes of heap
 */
record Cost(double messages, double bytes, double processor, double memory) {
    /** The cost of nothing; the identity of {@link #plus}. */
    static final Cost ZERO = new Cost(0, 0, 0, 0);

    /** Returns the sum of both costs. */
    Cost plus(Cost other) {
        return new Cost(
                messages + other.messages,
                bytes + other.bytes,
                processor + other.processor,
                memory + other.memory);
    }
}
