package org.dahliapass.lab.latency;

import com.linecorp.armeria.common.SplitHttpResponse;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.dahliapass.kernel.OperationException;

/** Streams bodies through the VM while it samples the VM's resident set. */
final class StreamMeasurement implements AutoCloseable {
    private static final long SAMPLE_MILLIS = 50;
    private static final double NANOS_PER_SECOND = 1e9;

    private final RequestFactory mRequests;
    private final ResidentMemory mMemory;
    private final Pacer mPacer;
    private final ScheduledExecutorService mExecutor = Executors.newScheduledThreadPool(2);

    StreamMeasurement(RequestFactory requests, ResidentMemory memory, Pacer pacer) {
        mRequests = requests;
        mMemory = memory;
        mPacer = pacer;
    }

    /**
     * Streams one body.
     *
     * @throws OperationException if the body didn't arrive whole
     */
    StreamResult run(String reader, String path, long bytes, long bytesPerSecond) {
        long before = mMemory.kibibytes();
        AtomicLong peak = new AtomicLong(before);
        Future<?> sampler =
                mExecutor.scheduleAtFixedRate(
                        () -> peak.accumulateAndGet(mMemory.kibibytes(), Math::max),
                        0,
                        SAMPLE_MILLIS,
                        TimeUnit.MILLISECONDS);
        long start = mPacer.nowNanos();
        long arrived = read(path + "?bytes=" + bytes, bytesPerSecond);
        double seconds = (mPacer.nowNanos() - start) / NANOS_PER_SECOND;
        sampler.cancel(false);
        if (arrived != bytes) {
            throw new OperationException(
                    "stream", path, arrived + " of " + bytes + " bytes arrived.");
        }
        long after = mMemory.kibibytes();
        return new StreamResult(reader, bytes, seconds, before, Math.max(after, peak.get()), after);
    }

    private long read(String path, long bytesPerSecond) {
        SplitHttpResponse answer = mRequests.streamViaVm(path).split();
        RateLimitedReader reader = new RateLimitedReader(mPacer, mExecutor, bytesPerSecond);
        answer.body().subscribe(reader);
        return reader.bodyLength().join();
    }

    @Override
    public void close() {
        mExecutor.shutdownNow();
    }
}
