package org.dahliapass.standins;

import com.linecorp.armeria.common.CommonPools;
import com.linecorp.armeria.server.ServerBuilder;
import java.time.Clock;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.dahliapass.model.Endpoint;

/**
 * Stands in for the configuration store: a subset of the Consul key-value and session HTTP API, in
 * memory, with faults that are switched while it runs ({@code PUT /faults}, {@code GET /calls}).
 */
public final class StoreStandIn implements StandIn {
    private static final long LAPSE_PERIOD_MILLIS = 100;

    /** Above the largest value, so that the service itself can answer 413. */
    private static final long LARGEST_BODY = 4L * StoreService.MAX_VALUE_BYTES;

    private final Clock mClock;
    private final KeyValueTable mTable;
    private final BlockingReads mWaiting;
    private final Map<StoreCall, Long> mCalls = new EnumMap<>(StoreCall.class);
    private final LoopbackServer mServer;
    private StoreFaults mFaults = StoreFaults.NONE;
    private Future<?> mLapseTimer = CommonPools.workerGroup().next().newSucceededFuture(null);

    /** Creates the store on a port, 0 for a free one; session ids come from the generator. */
    public StoreStandIn(int port, Clock clock, RandomGenerator random) {
        mClock = clock;
        mTable = new KeyValueTable(random);
        mWaiting = new BlockingReads(key -> mTable.index(key, mClock.millis()));
        mServer = new LoopbackServer(port, this::declare);
    }

    private void declare(ServerBuilder builder) {
        builder.maxRequestLength(LARGEST_BODY);
        new StoreService(this, mClock, mTable, mWaiting).declare(builder);
        builder.route().get("/calls").build(HttpResponses.valueService(this::calls));
        builder.route().get("/faults").build(HttpResponses.valueService(this::faults));
        builder.route()
                .put("/faults")
                .build(HttpResponses.replaceService(StoreFaults.class, this::setFaults));
    }

    @Override
    public void start() {
        mServer.start();
        // Without it a watch on a held key would sleep through the lapse of its holder.
        mLapseTimer =
                CommonPools.workerGroup()
                        .next()
                        .scheduleAtFixedRate(
                                mWaiting::completeChanged,
                                LAPSE_PERIOD_MILLIS,
                                LAPSE_PERIOD_MILLIS,
                                TimeUnit.MILLISECONDS);
    }

    @Override
    public Endpoint endpoint() {
        return mServer.endpoint();
    }

    @Override
    public void close() {
        mLapseTimer.cancel(false);
        mWaiting.close();
        mServer.close();
    }

    /** Returns the faults in force. */
    public synchronized StoreFaults faults() {
        return mFaults;
    }

    /** Replaces the faults; waiting watches are answered or fail at once. */
    public void setFaults(StoreFaults faults) {
        synchronized (this) {
            mFaults = faults;
        }
        mWaiting.completeAll();
    }

    /** Returns how many calls of each kind came in so far, failed ones included. */
    public synchronized Map<StoreCall, Long> calls() {
        return Map.copyOf(mCalls);
    }

    /** Returns how many watches wait for a change now. */
    public int pendingWatchCount() {
        return mWaiting.size();
    }

    synchronized void count(StoreCall call) {
        mCalls.merge(call, 1L, Long::sum);
    }

    /** Returns whether the answer of this write is to be lost, and takes it off the number. */
    synchronized boolean consumeLostResponse() {
        if (mFaults.loseAnswers() == 0) {
            return false;
        }
        mFaults = mFaults.withLoseAnswers(mFaults.loseAnswers() - 1);
        return true;
    }
}
