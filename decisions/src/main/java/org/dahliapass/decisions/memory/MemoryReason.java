package org.dahliapass.decisions.memory;

/** What memory is held for. */
public enum MemoryReason {
    /** The body of a request, until its response is written. */
    REQUEST_BODY,
    /** The buffered part of a response, until it is written or discarded. */
    RESPONSE,
    /** Heads, bodies and trailers of requests that wait behind others of their connection. */
    PIPELINE,
    /** The state and buffers of a caller's connection. */
    CONNECTION
}
