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
import org.dahliapass.model.Endpoint;

/** Stands in for the platform's metadata store, by its published HTTP interface. */
public final class MetadataStoreStandIn implements StandIn {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long WATCH_STEP_MILLIS = 5;
    private static final double MILLIS_PER_SECOND = 1000.0;

    private final Clock mClock;
    private final MetadataTable mTable = new MetadataTable();
    private final LoopbackServer mServer;
    private final AtomicInteger mWatches = new AtomicInteger();
    private volatile boolean mAway;

    /**
     * Creates the stand-in.
     *
     * @param port the TCP port, 0 for a free one
     */
    public MetadataStoreStandIn(int port, Clock clock) {
        mClock = clock;
        mServer = new LoopbackServer(port, this::declare);
    }

    private void declare(ServerBuilder builder) {
        builder.route()
                .get("/api/kv-range")
                .build((context, call) -> ifThere(() -> range(context)))
                .route()
                .get("/api/kv-watch")
                .build((context, call) -> ifThere(() -> watch(context)))
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
                .build((context, call) -> ifThere(() -> end(context)));
    }

    /** Writes a key as the operator or a target does. */
    public void put(String key, String value) {
        String encoded = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
        mTable.put(key, encoded, MetadataTable.NO_LEASE, mClock.millis());
    }

    /** Removes a key. */
    public void remove(String key) {
        mTable.remove(key, mClock.millis());
    }

    /** Returns the keys with a prefix. */
    public List<String> keys(String prefix) {
        return mTable.range(prefix, mClock.millis()).stream()
                .map(MetadataTable.Entry::key)
                .toList();
    }

    /** Makes the store answer 503 to every call, or serve again. */
    public void setUnavailable(boolean away) {
        mAway = away;
    }

    /** Forgets all changes so far, so that watches from before end with 410. */
    public void compactHistory() {
        mTable.compactHistory();
    }

    /** Returns how many watches were begun. */
    public int watchCount() {
        return mWatches.get();
    }

    private HttpResponse ifThere(Supplier<HttpResponse> call) {
        return mAway ? HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE) : call.get();
    }

    private HttpResponse withBody(HttpRequest call, Function<JsonNode, HttpResponse> answer) {
        return HttpResponse.of(
                call.aggregate()
                        .thenApply(
                                (AggregatedHttpRequest body) ->
                                        ifThere(
                                                () ->
                                                        answer.apply(
                                                                HttpResponses.decode(
                                                                        body.contentUtf8(),
                                                                        JsonNode.class)))));
    }

    private HttpResponse range(ServiceRequestContext context) {
        ObjectNode body = JSON.createObjectNode();
        ArrayNode items = body.putArray("items");
        long now = mClock.millis();
        mTable.range(context.queryParams().get("prefix", ""), now)
                .forEach(entry -> put(items.addObject(), entry));
        body.put("has_more", false).put("as_of", mTable.revision(now));
        return HttpResponses.json(body);
    }

    private HttpResponse watch(ServiceRequestContext context) {
        context.clearRequestTimeout();
        mWatches.incrementAndGet();
        String prefix = context.queryParams().get("prefix", "");
        long after = context.queryParams().getLong("after", 0);
        long until = mClock.millis() + context.queryParams().getLong("wait_ms", 0);
        CompletableFuture<HttpResponse> answer = new CompletableFuture<>();
        step(context, prefix, after, until, answer);
        return HttpResponse.of(answer);
    }

    private void step(
            ServiceRequestContext context,
            String prefix,
            long after,
            long until,
            CompletableFuture<HttpResponse> answer) {
        long now = mClock.millis();
        Optional<List<MetadataTable.Change>> changes = mTable.changes(prefix, after, now);
        if (mAway) {
            answer.complete(HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE));
        } else if (changes.isEmpty()) {
            answer.complete(HttpResponse.of(HttpStatus.GONE));
        } else if (!changes.get().isEmpty() || now >= until) {
            answer.complete(HttpResponses.json(changes(changes.get(), mTable.revision(now))));
        } else {
            Future<?> unused =
                    context.eventLoop()
                            .schedule(
                                    () -> step(context, prefix, after, until, answer),
                                    WATCH_STEP_MILLIS,
                                    TimeUnit.MILLISECONDS);
        }
    }

    private static ObjectNode changes(List<MetadataTable.Change> changes, long revision) {
        ObjectNode body = JSON.createObjectNode();
        ArrayNode events = body.putArray("events");
        for (MetadataTable.Change change : changes) {
            ObjectNode event = events.addObject();
            if (change.entry().isPresent()) {
                put(event, change.entry().get());
            } else {
                event.put("key", change.key()).put("revision", change.revision());
                event.put("deleted", true);
            }
        }
        return body.put("as_of", revision);
    }

    private HttpResponse transact(JsonNode body) {
        long now = mClock.millis();
        for (JsonNode condition : body.path("expect")) {
            long revision = mTable.revisionOf(condition.path("key").asText(), now);
            if (revision != condition.path("revision").asLong()) {
                return HttpResponse.of(HttpStatus.PRECONDITION_FAILED);
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
                return HttpResponse.of(HttpStatus.NOT_FOUND);
            }
        }
        body.path("remove").forEach(key -> mTable.remove(key.asText(), now));
        return HttpResponses.json(JSON.createObjectNode().put("revision", mTable.revision(now)));
    }

    private HttpResponse grant(JsonNode body) {
        double seconds = body.path("ttl_s_time").asDouble();
        long lease = mTable.grant((long) (seconds * MILLIS_PER_SECOND), mClock.millis());
        return HttpResponses.json(
                JSON.createObjectNode().put("lease", lease).put("ttl_s_time", seconds));
    }

    private HttpResponse renew(ServiceRequestContext context) {
        long lease = Long.parseLong(context.pathParam("lease"));
        return mTable.renew(lease, mClock.millis())
                ? HttpResponses.json(JSON.createObjectNode())
                : HttpResponse.of(HttpStatus.NOT_FOUND);
    }

    private HttpResponse end(ServiceRequestContext context) {
        long lease = Long.parseLong(context.pathParam("lease"));
        return mTable.revoke(lease, mClock.millis())
                ? HttpResponses.json(JSON.createObjectNode())
                : HttpResponse.of(HttpStatus.NOT_FOUND);
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
        mAway = true;
        mServer.close();
    }
}
