package org.dahliapass.gateway;

import java.util.function.LongConsumer;
import org.dahliapass.http.PipelineListener;
import org.dahliapass.traffic.EntryMetrics;

/** Counts how far callers send requests ahead, and the memory of those that wait. */
final class PipelineCounter implements PipelineListener {
    private final EntryMetrics mMetrics;
    private final RequestMemory mMemory;

    PipelineCounter(EntryMetrics metrics, RequestMemory memory) {
        mMetrics = metrics;
        mMemory = memory;
    }

    @Override
    public void onConcurrentRequest(int depth) {
        mMetrics.onPipelinedRequest(depth);
    }

    @Override
    public void onPause() {
        mMetrics.onPipelinePause();
    }

    @Override
    public LongConsumer waitingBytes() {
        return mMemory.holdPipeline();
    }
}
