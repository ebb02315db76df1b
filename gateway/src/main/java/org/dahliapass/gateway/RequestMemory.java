package org.dahliapass.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import java.time.Clock;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongConsumer;
import org.dahliapass.decisions.memory.MemoryAccount;
import org.dahliapass.decisions.memory.MemoryLimit;
import org.dahliapass.decisions.memory.MemoryPolicy;
import org.dahliapass.decisions.memory.MemoryReason;
import org.dahliapass.decisions.memory.ReaderProgress;
import org.dahliapass.http.ServerCall;
import org.dahliapass.platform.TargetHeaders;
import org.dahliapass.traffic.EntryMetrics;

/**
 * Accounts for the memory that requests hold on this VM, and closes callers that don't read their
 * responses while memory is short. Confined to the traffic thread.
 */
final class RequestMemory {
    /** The interval of the checks of slow readers, in milliseconds. */
    private static final long CHECK_MILLIS = 500;

    /** The maximum length of a body whose buffer has the size of its Content-Length, in bytes. */
    private static final long MAX_EXACT_BYTES = 256 * 1024;

    /** The state of a caller's connection with its codec and read buffer, about. */
    private static final long CONNECTION_BYTES = 16 * 1024;

    private final MemoryAccount mAccount;
    private final MemoryPolicy mPolicy;
    private final Clock mClock;
    private final EntryMetrics mMetrics;
    private final EventLog mLog;

    /** The responses that are being written and not whole, while the account has a limit. */
    private final Map<ServerCall, Reading> mReaders = new LinkedHashMap<>();

    private long mLastCheckMillis = Long.MIN_VALUE / 2;

    /** A response that is being written. */
    private record Reading(MemoryAccount.Holding holding, ReaderProgress progress) {}

    RequestMemory(LoadSettings settings, Clock clock, EntryMetrics metrics, EventLog log) {
        this(
                new MemoryAccount(
                        MemoryLimit.bytes(
                                settings.memoryMegabytes(), Runtime.getRuntime().maxMemory())),
                clock,
                metrics,
                log);
    }

    RequestMemory(MemoryAccount account, Clock clock, EntryMetrics metrics, EventLog log) {
        mAccount = account;
        mPolicy = new MemoryPolicy(account);
        mClock = clock;
        mMetrics = metrics;
        mLog = log;
    }

    /**
     * Holds the memory for the body of a request until its response is written, if there is enough.
     *
     * @param priority the priority of the request; 0 is the highest
     * @param maxBodyBytes the maximum length of a body, in bytes
     * @return what the request holds; empty if memory is too short for it
     */
    Optional<MemoryAccount.Holding> admit(ServerCall call, int priority, long maxBodyBytes) {
        long bytes = bufferBytes(call.head(), maxBodyBytes);
        if (!mPolicy.accepts(priority, bytes, mClock.millis())) {
            return Optional.empty();
        }
        MemoryAccount.Holding holding = mAccount.hold(MemoryReason.REQUEST_BODY, bytes);
        call.onDelivered(delivery -> holding.release());
        return Optional.of(holding);
    }

    /** Records that a request is refused because memory is short. */
    void onRefused() {
        mMetrics.onMemoryRefusal();
    }

    /**
     * Returns whether a request has a body that has to be buffered.
     *
     * @param maxBodyBytes the maximum length of a body, in bytes
     */
    boolean needsBuffer(ServerCall call, long maxBodyBytes) {
        return bufferBytes(call.head(), maxBodyBytes) > 0;
    }

    /** Returns the maximum size of the buffer for a request's body, in bytes. */
    private static long bufferBytes(HttpRequest head, long maxBodyBytes) {
        boolean isChunked = HttpUtil.isTransferEncodingChunked(head);
        long bytes = isChunked ? maxBodyBytes : HttpUtil.getContentLength(head, 0L);
        if (bytes <= 0 || bytes > maxBodyBytes) {
            // A body that is too long is refused and not buffered.
            return 0;
        }
        // A buffer that grows doubles its size.
        boolean isExact = !isChunked && bytes <= MAX_EXACT_BYTES;
        return isExact ? bytes : Math.max(1, Long.highestOneBit(2 * bytes - 1));
    }

    /** Returns the current time, in milliseconds. */
    long nowMillis() {
        return mClock.millis();
    }

    /** Starts to hold the memory for the buffer of a response, in bytes. */
    MemoryAccount.Holding holdResponse(long bytes) {
        return mAccount.hold(MemoryReason.RESPONSE, bytes);
    }

    /** Holds the memory of a caller's connection, in bytes. */
    MemoryAccount.Holding holdConnection() {
        return mAccount.hold(MemoryReason.CONNECTION, CONNECTION_BYTES);
    }

    /**
     * Holds the memory of the requests that wait on a caller's connection; returns what receives
     * their size, in bytes, whenever it changes.
     */
    LongConsumer holdPipeline() {
        return mAccount.hold(MemoryReason.PIPELINE, 0)::resize;
    }

    /** Returns whether a response holds more than one response may, in bytes. */
    boolean isTooLarge(long responseBytes) {
        return mPolicy.isTooLarge(responseBytes);
    }

    /** Returns the size from which a response is streamed and no longer buffered, in bytes. */
    int maxBufferedBytes() {
        return mPolicy.maxBufferedBytes();
    }

    /** Releases what a response holds once it is written, and watches whether its caller reads. */
    void onResponse(ServerCall call, MemoryAccount.Holding holding) {
        if (!mAccount.isLimited()) {
            call.onDelivered(delivery -> holding.release());
            return;
        }
        mReaders.put(call, new Reading(holding, new ReaderProgress(mClock.millis())));
        call.onDelivered(
                delivery -> {
                    mReaders.remove(call);
                    holding.release();
                });
    }

    /** Closes slow readers; to be called periodically while requests are in flight. */
    void check() {
        long now = mClock.millis();
        if (mReaders.isEmpty() || now - mLastCheckMillis < CHECK_MILLIS) {
            return;
        }
        mLastCheckMillis = now;
        List<MemoryPolicy.Reader<ServerCall>> readers =
                mReaders.entrySet().stream()
                        .map(
                                entry ->
                                        new MemoryPolicy.Reader<>(
                                                entry.getValue().holding().bytes(),
                                                entry.getValue()
                                                        .progress()
                                                        .update(unread(entry.getKey()), now),
                                                entry.getKey()))
                        .toList();
        mPolicy.slowReaders(readers).forEach(this::close);
    }

    /**
     * Returns the bytes that the caller could have read; 0 while earlier responses of its
     * connection are not written, because the caller doesn't delay this one.
     */
    private static long unread(ServerCall call) {
        return call.hasTurn() ? call.unwrittenBytes() : 0;
    }

    private void close(MemoryPolicy.Reader<ServerCall> reader) {
        HttpHeaders headers = reader.handle().head().headers();
        mMetrics.onSlowReaderClosed();
        mLog.write(
                EventLog.Kind.REQUEST,
                "slow_reader_closed",
                line ->
                        line.put("id", headers.get(TargetHeaders.ATTEMPT_ID, ""))
                                .put("held_bytes", reader.heldBytes())
                                .put("unread_ms", reader.unreadMillis())
                                .put("account_bytes", mAccount.heldBytes())
                                .put("limit_bytes", mAccount.limitBytes()));
        reader.handle().abort();
    }

    /** Publishes the bytes held by reason; called before the metrics are read. */
    void publish() {
        for (MemoryReason reason : MemoryReason.values()) {
            mMetrics.onHeldBytes(
                    reason.name().toLowerCase(Locale.ROOT), mAccount.heldBytes(reason));
        }
    }
}
