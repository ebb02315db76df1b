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
 * An in-memory stand-in for the configuration store with a subset of Consul's key-value and session
 * HTTP API.
 *
 * <p>{@code PUT /faults} injects faults at run time; {@code GET /calls} returns the call counts.
 */
public final class StoreStandIn implements StandIn {
    private static final long EXPIRY_CHECK_PERIOD_MILLIS = 100;

    /** Above the maximum value size, so that the service itself can respond with 413. */
    private static final long MAX_BODY_BYTES = 4L * StoreService.MAX_VALUE_BYTES;

    private final Clock mClock;
    private final KeyValueTable mTable;
    private final BlockingReads mBlockingReads;
    private final Map<StoreCall, Long> mCalls = new EnumMap<>(StoreCall.class);
    private final LoopbackServer mServer;
    private StoreFaults mFaults = StoreFaults.NONE;
    private Future<?> mExpiryTimer = CommonPools.workerGroup().next().newSucceededFuture(null);

    /**
     * Creates the store.
     *
     * @param port the TCP port, 0 for a free one
     * @param clock the clock for session expiry
     * @param random the generator of session IDs
     */
    public StoreStandIn(int port, Clock clock, RandomGenerator random) {
        mClock = clock;
        mTable = new KeyValueTable(random);
        mBlockingReads = new BlockingReads(key -> mTable.index(key, mClock.millis()));
        mServer = new LoopbackServer(port, this::addRoutes);
    }

    private void addRoutes(ServerBuilder builder) {
        builder.maxRequestLength(MAX_BODY_BYTES);
        new StoreService(this, mClock, mTable, mBlockingReads).addRoutes(builder);
        builder.route().get("/calls").build(HttpResponses.valueService(this::calls));
        builder.route().get("/faults").build(HttpResponses.valueService(this::faults));
        builder.route()
                .put("/faults")
                .build(HttpResponses.replaceService(StoreFaults.class, this::setFaults));
    }

    @Override
    public void start() {
        mServer.start();
        // Watches on a locked key must also return when the holder's session expires.
        mExpiryTimer =
                CommonPools.workerGroup()
                        .next()
                        .scheduleAtFixedRate(
                                mBlockingReads::completeChanged,
                                EXPIRY_CHECK_PERIOD_MILLIS,
                                EXPIRY_CHECK_PERIOD_MILLIS,
                                TimeUnit.MILLISECONDS);
    }

    @Override
    public Endpoint endpoint() {
        return mServer.endpoint();
    }

    @Override
    public void close() {
        mExpiryTimer.cancel(false);
        mBlockingReads.close();
        mServer.close();
    }

    /** Returns the active faults. */
    public synchronized StoreFaults faults() {
        return mFaults;
    }

    /** Replaces the faults; pending watches return or fail at once. */
    public void setFaults(StoreFaults faults) {
        synchronized (this) {
            mFaults = faults;
        }
        mBlockingReads.completeAll();
    }

    /** Returns the number of calls so far by kind, including failed calls. */
    public synchronized Map<StoreCall, Long> calls() {
        return Map.copyOf(mCalls);
    }

    /** Returns the number of pending watches. */
    public int pendingWatchCount() {
        return mBlockingReads.size();
    }

    synchronized void count(StoreCall call) {
        mCalls.merge(call, 1L, Long::sum);
    }

    /** Returns whether to lose this write's response; if so, decrements the remaining count. */
    synchronized boolean consumeLostResponse() {
        if (mFaults.loseAnswers() == 0) {
            return false;
        }
        mFaults = mFaults.withLoseAnswers(mFaults.loseAnswers() - 1);
        return true;
    }
}
