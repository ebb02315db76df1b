package org.dahliapass.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.QueryParams;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.server.ServerBuilder;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.time.Clock;
import java.time.Duration;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

/** The HTTP service of the store's API, backed by a {@link KeyValueTable}. */
final class StoreService {
    /** The maximum size of a value, in bytes. */
    static final int MAX_VALUE_BYTES = 1 << 20;

    private static final String KEY_PATH = "/v1/kv/{*key}";

    private final StoreStandIn mStandIn;
    private final Clock mClock;
    private final KeyValueTable mTable;
    private final BlockingReads mBlockingReads;

    StoreService(
            StoreStandIn standIn, Clock clock, KeyValueTable table, BlockingReads blockingReads) {
        mStandIn = standIn;
        mClock = clock;
        mTable = table;
        mBlockingReads = blockingReads;
    }

    void addRoutes(ServerBuilder builder) {
        builder.route().get(KEY_PATH).build(this::read);
        builder.route().put(KEY_PATH).build(this::put);
        builder.route().delete(KEY_PATH).build(this::delete);
        builder.route().put("/v1/session/create").build(this::createSession);
        builder.route().put("/v1/session/renew/{id}").build(this::renewSession);
        builder.route().put("/v1/session/destroy/{id}").build(this::destroySession);
    }

    private HttpResponse read(ServiceRequestContext context, HttpRequest request) {
        String key = context.pathParam("key");
        BlockingReadParameters wait = BlockingReadParameters.of(context.queryParams());
        StoreCall call = wait.isBlocking() ? StoreCall.WATCH : StoreCall.READ;
        mStandIn.count(call);
        if (mStandIn.faults().away()) {
            return unavailableResponse(context);
        }
        return HttpResponse.of(
                mBlockingReads
                        .await(key, wait, context.eventLoop())
                        .thenApply(ignored -> respond(context, () -> entryResponse(key))));
    }

    private HttpResponse entryResponse(String key) {
        long index = mTable.index(key, mClock.millis());
        Optional<KeyValueEntry> entry = mTable.get(key, mClock.millis());
        HttpStatus status = entry.isPresent() ? HttpStatus.OK : HttpStatus.NOT_FOUND;
        ResponseHeaders headers =
                ResponseHeaders.builder(status)
                        .contentType(MediaType.JSON_UTF_8)
                        .add("X-Consul-Index", Long.toString(index))
                        .build();
        return HttpResponse.of(
                headers,
                entry.map(found -> HttpData.wrap(HttpResponses.encode(List.of(found))))
                        .orElse(HttpData.empty()));
    }

    private HttpResponse put(ServiceRequestContext context, HttpRequest request) {
        StoreCall call = StoreCall.ofWrite(context.queryParams());
        return HttpResponse.of(
                request.aggregate()
                        .thenApply(
                                body -> {
                                    mStandIn.count(call);
                                    return respond(context, () -> put(context, call, body));
                                }));
    }

    private HttpResponse put(
            ServiceRequestContext context, StoreCall call, AggregatedHttpRequest body) {
        if (body.content().length() > MAX_VALUE_BYTES) {
            return HttpResponse.of(HttpStatus.REQUEST_ENTITY_TOO_LARGE);
        }
        QueryParams parameters = context.queryParams();
        if (call == StoreCall.ACQUIRE
                && !mTable.hasSession(parameters.get("acquire", ""), mClock.millis())) {
            return HttpResponse.of(
                    HttpStatus.INTERNAL_SERVER_ERROR,
                    MediaType.PLAIN_TEXT_UTF_8,
                    "invalid session");
        }
        String value = Base64.getEncoder().encodeToString(body.content().array());
        return writeResponse(
                context, applyWrite(call, context.pathParam("key"), value, parameters));
    }

    private boolean applyWrite(StoreCall call, String key, String value, QueryParams parameters) {
        long nowMillis = mClock.millis();
        return switch (call) {
            case CAS -> mTable.compareAndSwap(key, value, expectedIndex(parameters), nowMillis);
            case ACQUIRE -> mTable.acquire(key, value, parameters.get("acquire", ""), nowMillis);
            case RELEASE -> mTable.release(key, value, parameters.get("release", ""), nowMillis);
            default -> {
                mTable.put(key, value, nowMillis);
                yield true;
            }
        };
    }

    private HttpResponse delete(ServiceRequestContext context, HttpRequest request) {
        mStandIn.count(StoreCall.DELETE);
        return respond(context, () -> writeResponse(context, delete(context)));
    }

    private boolean delete(ServiceRequestContext context) {
        String key = context.pathParam("key");
        QueryParams parameters = context.queryParams();
        if (parameters.contains("cas")) {
            return mTable.compareAndDelete(key, expectedIndex(parameters), mClock.millis());
        }
        mTable.delete(key, mClock.millis());
        return true;
    }

    private static long expectedIndex(QueryParams parameters) {
        return Long.parseLong(parameters.get("cas", ""));
    }

    private HttpResponse writeResponse(ServiceRequestContext context, boolean succeeded) {
        mBlockingReads.completeChanged();
        if (succeeded && mStandIn.consumeLostResponse()) {
            return HttpResponses.closeConnection(context);
        }
        return HttpResponses.json(succeeded);
    }

    private HttpResponse createSession(ServiceRequestContext context, HttpRequest request) {
        return HttpResponse.of(
                request.aggregate()
                        .thenApply(
                                body -> {
                                    mStandIn.count(StoreCall.SESSION_CREATE);
                                    return respond(context, () -> createSession(body));
                                }));
    }

    private HttpResponse createSession(AggregatedHttpRequest body) {
        String timeToLive =
                body.content().isEmpty()
                        ? ""
                        : HttpResponses.decode(body.contentUtf8(), JsonNode.class)
                                .path("TTL")
                                .asText();
        long millis =
                timeToLive.isEmpty()
                        ? KeyValueTable.UNLIMITED
                        : BlockingReadParameters.parseMillis(timeToLive);
        return HttpResponses.json(Map.of("ID", mTable.createSession(millis, mClock.millis())));
    }

    private HttpResponse renewSession(ServiceRequestContext context, HttpRequest request) {
        mStandIn.count(StoreCall.SESSION_RENEW);
        String id = context.pathParam("id");
        return respond(
                context,
                () ->
                        mTable.renewSession(id, mClock.millis())
                                ? HttpResponses.json(List.of(Map.of("ID", id)))
                                : HttpResponse.of(HttpStatus.NOT_FOUND));
    }

    private HttpResponse destroySession(ServiceRequestContext context, HttpRequest request) {
        mStandIn.count(StoreCall.SESSION_DESTROY);
        return respond(
                context,
                () -> {
                    mTable.destroySession(context.pathParam("id"), mClock.millis());
                    mBlockingReads.completeChanged();
                    return HttpResponses.json(true);
                });
    }

    private HttpResponse respond(ServiceRequestContext context, Supplier<HttpResponse> call) {
        StoreFaults faults = mStandIn.faults();
        if (faults.away()) {
            return unavailableResponse(context);
        }
        HttpResponse response = call.get();
        return faults.slowMillis() == 0
                ? response
                : HttpResponse.delayed(response, Duration.ofMillis(faults.slowMillis()));
    }

    private HttpResponse unavailableResponse(ServiceRequestContext context) {
        return mStandIn.faults().awayByClose()
                ? HttpResponses.closeConnection(context)
                : HttpResponse.of(HttpStatus.INTERNAL_SERVER_ERROR);
    }
}
