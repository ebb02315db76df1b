package org.dahliapass.lab.capacity;

/**
 * What a part of a role costs one VM.
 *
 * @param messages messages a second, sent and received
 * @param bytes bytes a second, sent and received, with the headers of the transport
 * @param processor share of one core
 * @param memory bytes of heap
 */
record Cost(double messages, double bytes, double processor, double memory) {
    /** Costs nothing. */
    static final Cost NONE = new Cost(0, 0, 0, 0);

    /** Returns both costs together. */
    Cost plus(Cost other) {
        return new Cost(
                messages + other.messages,
                bytes + other.bytes,
                processor + other.processor,
                memory + other.memory);
    }
}
