package org.dahliapass.http;

import io.netty.handler.codec.http.HttpRequest;

/**
 * The limits of the requests of one connection that were sent ahead, before earlier ones were
 * answered.
 *
 * @param requests the maximum number of requests that are processed concurrently; 1 processes them
 *     one after another
 * @param waitingParts the maximum number of decoded parts of requests that wait to be processed
 * @param waitingBytes the maximum size of these parts, in bytes
 * @param heldBytesStartThreshold the size of the responses that wait for earlier ones, in bytes,
 *     below which further requests are started; responses to requests that were started before may
 *     exceed it
 */
record PipelineLimits(
        int requests, int waitingParts, long waitingBytes, long heldBytesStartThreshold) {
    /** The number of waiting parts where requests are processed one after another. */
    private static final int MAX_SEQUENTIAL_PARTS = 64;

    private static final long MAX_BYTES = 256 * 1024;

    /** The limits of a connection whose requests are processed one after another. */
    static final PipelineLimits SEQUENTIAL =
            new PipelineLimits(1, MAX_SEQUENTIAL_PARTS, Long.MAX_VALUE, Long.MAX_VALUE);

    /**
     * Returns the limits for a number of concurrent requests.
     *
     * <p>The number of concurrent requests doesn't limit what is read: a connection whose reading
     * is paused notices the close of its client only behind few bytes, see {@link ReadPause}.
     */
    static PipelineLimits of(int requests) {
        return requests == 1
                ? SEQUENTIAL
                : new PipelineLimits(requests, Integer.MAX_VALUE, MAX_BYTES, MAX_BYTES);
    }

    /** Returns whether requests may run concurrently at all. */
    boolean isConcurrent() {
        return requests > 1;
    }

    /** Returns whether a request may run concurrently with others of its connection. */
    RequestConcurrency concurrency(HttpRequest head) {
        return isConcurrent() ? RequestConcurrency.of(head) : RequestConcurrency.EXCLUSIVE;
    }

    /** Returns whether reading pauses while the given parts wait. */
    boolean isFull(int parts, long bytes) {
        return parts >= waitingParts || bytes >= waitingBytes;
    }

    /**
     * Returns whether a request may start while earlier ones are unanswered.
     *
     * @param next the request
     * @param last the latest unanswered request; if it may run concurrently, all before it may, too
     * @param unanswered the number of unanswered requests
     * @param held the size of the responses that wait for earlier ones, in bytes
     */
    boolean mayStart(RequestConcurrency next, RequestConcurrency last, int unanswered, long held) {
        return unanswered < requests
                && held < heldBytesStartThreshold
                && last.isConcurrent()
                && next.isConcurrent();
    }
}
