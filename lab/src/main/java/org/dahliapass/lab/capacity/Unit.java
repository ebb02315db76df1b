package org.dahliapass.lab.capacity;

/** The unit of a measured value. */
enum Unit {
    /** Bytes of retained heap. */
    HEAP_BYTES("B heap"),
    /** Bytes of a message or value, without transport headers. */
    WIRE_BYTES("B"),
    /** Microseconds of processor time. */
    MICROSECONDS("µs"),
    /** Store calls. */
    CALLS("calls");

    private final String mSymbol;

    Unit(String symbol) {
        mSymbol = symbol;
    }

    /** Returns the symbol for the report. */
    String symbol() {
        return mSymbol;
    }
}
