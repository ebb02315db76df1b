package org.dahliapass.http;

import java.util.function.LongConsumer;

/** Is told how far clients send requests ahead. Called on the event loop of the server. */
public interface PipelineListener {
    /** A listener that ignores everything. */
    PipelineListener NONE =
            new PipelineListener() {
                @Override
                public void onConcurrentRequest(int depth) {}

                @Override
                public void onPause() {}

                @Override
                public LongConsumer waitingBytes() {
                    return bytes -> {};
                }
            };

    /**
     * Called when a request is started while earlier ones of its connection are unanswered.
     *
     * @param depth the number of unanswered requests of the connection, with this one
     */
    void onConcurrentRequest(int depth);

    /** Called when a connection is no longer read because too many parts of requests wait. */
    void onPause();

    /**
     * Returns a consumer for a new connection, which is called with the size of the heads, bodies
     * and trailers that wait on it, in bytes, whenever that changes. The size is 0 at the start and
     * once the connection is closed.
     */
    LongConsumer waitingBytes();
}
