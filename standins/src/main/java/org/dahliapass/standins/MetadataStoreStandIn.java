package org.dahliapass.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.server.ServerBuilder;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import org.dahliapass.model.Endpoint;

/** An in-memory stand-in for the platform's metadata store, with its published HTTP API. */
public final class MetadataStoreStandIn implements StandIn {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long WATCH_POLL_PERIOD_MILLIS = 5;
    private static final double MILLIS_PER_SECOND = 1000.0;
    private static final String EPOCH_HEADER = "Store-Era";

    private final Clock mClock;
    private final MetadataTable mTable = new MetadataTable();
    private final LoopbackServer mServer;
    private final AtomicInteger mWatchCount = new AtomicInteger();
    private final AtomicInteger mReadCount = new AtomicInteger();
    private volatile boolean mUnavailable;

    /** Changes the epoch that responses name; none is named if the result is empty. */
    private volatile UnaryOperator<String> mEpochHeader = UnaryOperator.identity();

    /** The earlier state that stale reads return, if any. */
    private volatile Optional<MetadataTable.Backup> mStaleState = Optional.empty();

    /**
     * Creates the stand-in.
     *
     * @param port the TCP port, 0 for a free one
     */
    public MetadataStoreStandIn(int port, Clock clock) {
        mClock = clock;
        mServer = new LoopbackServer(port, this::addRoutes);
    }

    private void addRoutes(ServerBuilder builder) {
        builder.route()
                .get("/api/kv-range")
                .build((context, call) -> ifAvailable(() -> range(context)))
                .route()
                .get("/api/kv-watch")
                .build((context, call) -> ifAvailable(() -> watch(context)))
                .route()
                .post("/api/kv-txn")
                .build((context, call) -> withBody(call, this::transact))
                .route()
                .post("/api/kv-lease")
                .build((context, call) -> withBody(call, this::grant))
                .route()
                .post("/api/kv-keep/{lease}")
                .build((context, call) -> withBody(call, body -> renew(context)))
                .route()
                .delete("/api/kv-lease-end/{lease}")
                .build((context, call) -> ifAvailable(() -> revoke(context)));
    }

    /** Writes a key without a lease. */
    public void put(String key, String value) {
        String encoded = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
        mTable.put(key, encoded, MetadataTable.NO_LEASE, mClock.millis());
    }

    /** Deletes a key. */
    public void remove(String key) {
        mTable.remove(key, mClock.millis());
    }

    /** Returns the keys with the prefix, in order. */
    public List<String> keys(String prefix) {
        return mTable.range(prefix, mClock.millis()).entries().stream()
                .map(MetadataTable.Entry::key)
                .toList();
    }

    /** Sets whether the store responds to every request with status 503. */
    public void setUnavailable(boolean unavailable) {
        mUnavailable = unavailable;
    }

    /** Returns a copy of the current state. */
    public MetadataTable.Backup backup() {
        return mTable.backup(mClock.millis());
    }

    /** Returns to a copy of an earlier state; all that was written since is gone. */
    public void restore(MetadataTable.Backup backup) {
        mTable.restore(backup, mClock.millis());
    }

    /** Lets stale reads return an earlier state, with its epoch. */
    public void setStaleState(MetadataTable.Backup state) {
        mStaleState = Optional.of(state);
    }

    /** Changes the epoch that responses name; none is named if the result is empty. */
    public void setEpochHeader(UnaryOperator<String> header) {
        mEpochHeader = header;
    }

    /** Returns the current revision. */
    public long revision() {
        return mTable.revision(mClock.millis());
    }

    /** Removes the change history, so that watches from older revisions fail with status 410. */
    public void compactHistory() {
        mTable.compactHistory();
    }

    /** Returns the number of reads of key ranges so far. */
    public int readCount() {
        return mReadCount.get();
    }

    /** Returns the number of watches started so far. */
    public int watchCount() {
        return mWatchCount.get();
    }

    private HttpResponse ifAvailable(Supplier<HttpResponse> call) {
        return mUnavailable
                ? withEpoch(HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE))
                : call.get();
    }

    private HttpResponse withEpoch(HttpResponse response) {
        return withEpoch(response, mTable.epoch());
    }

    private HttpResponse withEpoch(HttpResponse response, long epoch) {
        String header = mEpochHeader.apply(Long.toString(epoch));
        return header.isEmpty()
                ? response
                : response.mapHeaders(
                        headers ->
                                headers.withMutations(
                                        mutable -> mutable.set(EPOCH_HEADER, header)));
    }

    private HttpResponse withBody(HttpRequest call, Function<JsonNode, HttpResponse> response) {
        return HttpResponse.of(
                call.aggregate()
                        .thenApply(
                                (AggregatedHttpRequest body) ->
                                        ifAvailable(
                                                () ->
                                                        response.apply(
                                                                HttpResponses.decode(
                                                                        body.contentUtf8(),
                                                                        JsonNode.class)))));
    }

    private HttpResponse range(ServiceRequestContext context) {
        ObjectNode body = JSON.createObjectNode();
        ArrayNode items = body.putArray("items");
        long now = mClock.millis();
        mReadCount.incrementAndGet();
        String prefix = context.queryParams().get("prefix", "");
        MetadataTable.Snapshot snapshot =
                mStaleState
                        .filter(state -> context.queryParams().contains("allow_stale"))
                        .map(state -> MetadataTable.range(state, prefix))
                        .orElseGet(() -> mTable.range(prefix, now));
        snapshot.entries().forEach(entry -> put(items.addObject(), entry));
        body.put("has_more", false).put("as_of", snapshot.revision());
        return withEpoch(HttpResponses.json(body), snapshot.epoch());
    }

    private HttpResponse watch(ServiceRequestContext context) {
        context.clearRequestTimeout();
        mWatchCount.incrementAndGet();
        String prefix = context.queryParams().get("prefix", "");
        long afterRevision = context.queryParams().getLong("after", 0);
        long untilMillis = mClock.millis() + context.queryParams().getLong("wait_ms", 0);
        CompletableFuture<HttpResponse> response = new CompletableFuture<>();
        pollWatch(context, prefix, afterRevision, untilMillis, response);
        return HttpResponse.of(response);
    }

    private void pollWatch(
            ServiceRequestContext context,
            String prefix,
            long afterRevision,
            long untilMillis,
            CompletableFuture<HttpResponse> response) {
        long now = mClock.millis();
        Optional<MetadataTable.History> history = mTable.changes(prefix, afterRevision, now);
        if (mUnavailable) {
            response.complete(withEpoch(HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE)));
        } else if (history.isEmpty()) {
            response.complete(withEpoch(HttpResponse.of(HttpStatus.GONE)));
        } else if (!history.get().changes().isEmpty() || now >= untilMillis) {
            response.complete(
                    withEpoch(HttpResponses.json(toJson(history.get())), history.get().epoch()));
        } else {
            Future<?> unused =
                    context.eventLoop()
                            .schedule(
                                    () ->
                                            pollWatch(
                                                    context,
                                                    prefix,
                                                    afterRevision,
                                                    untilMillis,
                                                    response),
                                    WATCH_POLL_PERIOD_MILLIS,
                                    TimeUnit.MILLISECONDS);
        }
    }

    private static ObjectNode toJson(MetadataTable.History history) {
        ObjectNode body = JSON.createObjectNode();
        ArrayNode events = body.putArray("events");
        for (MetadataTable.Change change : history.changes()) {
            ObjectNode event = events.addObject();
            if (change.entry().isPresent()) {
                put(event, change.entry().get());
            } else {
                event.put("key", change.key()).put("revision", change.revision());
                event.put("deleted", true);
            }
        }
        return body.put("as_of", history.revision());
    }

    private HttpResponse transact(JsonNode body) {
        long now = mClock.millis();
        for (JsonNode condition : body.path("expect")) {
            long revision = mTable.revisionOf(condition.path("key").asText(), now);
            if (revision != condition.path("revision").asLong()) {
                return withEpoch(HttpResponse.of(HttpStatus.PRECONDITION_FAILED));
            }
        }
        for (JsonNode put : body.path("puts")) {
            boolean known =
                    mTable.put(
                            put.path("key").asText(),
                            put.path("value").asText(),
                            put.path("lease").asLong(),
                            now);
            if (!known) {
                return withEpoch(HttpResponse.of(HttpStatus.NOT_FOUND));
            }
        }
        body.path("remove").forEach(key -> mTable.remove(key.asText(), now));
        return withEpoch(
                HttpResponses.json(JSON.createObjectNode().put("revision", mTable.revision(now))));
    }

    private HttpResponse grant(JsonNode body) {
        double seconds = body.path("ttl_s_time").asDouble();
        long lease = mTable.grant((long) (seconds * MILLIS_PER_SECOND), mClock.millis());
        return withEpoch(
                HttpResponses.json(
                        JSON.createObjectNode().put("lease", lease).put("ttl_s_time", seconds)));
    }

    private HttpResponse renew(ServiceRequestContext context) {
        long lease = Long.parseLong(context.pathParam("lease"));
        return leaseResponse(mTable.renew(lease, mClock.millis()));
    }

    private HttpResponse revoke(ServiceRequestContext context) {
        long lease = Long.parseLong(context.pathParam("lease"));
        return leaseResponse(mTable.revoke(lease, mClock.millis()));
    }

    private HttpResponse leaseResponse(boolean isKnown) {
        return withEpoch(
                isKnown
                        ? HttpResponses.json(JSON.createObjectNode())
                        : HttpResponse.of(HttpStatus.NOT_FOUND));
    }

    private static void put(ObjectNode node, MetadataTable.Entry entry) {
        node.put("key", entry.key())
                .put("value", entry.value())
                .put("revision", entry.revision())
                .put("created", entry.created())
                .put("lease", entry.lease());
    }

    @Override
    public void start() {
        mServer.start();
    }

    @Override
    public Endpoint endpoint() {
        return mServer.endpoint();
    }

    @Override
    public void close() {
        mUnavailable = true;
        mServer.close();
    }
}
