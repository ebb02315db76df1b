package org.dahliapass.lab.capacity;

/** The unit of a measured value. */
enum Unit {
    /** Bytes of heap that stay in use. */
    HEAP_BYTES("B heap"),
    /** Bytes of a message or value, without the headers of the transport. */
    WIRE_BYTES("B"),
    /** Microseconds of processor time. */
    MICROSECONDS("µs"),
    /** Calls of the store. */
    CALLS("calls");

    private final String mSymbol;

    Unit(String symbol) {
        mSymbol = symbol;
    }

    /** Returns how the unit is printed. */
    String symbol() {
        return mSymbol;
    }
}
