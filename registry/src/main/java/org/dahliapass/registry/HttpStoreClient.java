package org.dahliapass.registry;

import com.fasterxml.jackson.databind.JsonNode;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Base64;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.dahliapass.kernel.OperationException;
import org.dahliapass.model.Endpoint;
import org.dahliapass.platform.OutcomeUnknownException;

/** Speaks the key-value part of the Consul HTTP API, version 1. */
public final class HttpStoreClient implements StoreClient {
    private static final String PATH = "/v1/kv/";

    private final PlatformHttpClient mHttp;

    /**
     * Creates a client.
     *
     * @param store the store's address
     * @param timeout how long an answer may take, on top of the wait of a blocking read
     */
    public HttpStoreClient(Endpoint store, Duration timeout) {
        mHttp = new PlatformHttpClient(store, timeout);
    }

    @Override
    public CompletableFuture<Optional<StoredValue>> read(String key) {
        String step = "read " + key;
        return mHttp.get(step, PATH + PlatformHttpClient.encode(key), Duration.ZERO)
                .thenApply(response -> value(step, key, response));
    }

    @Override
    public CompletableFuture<WatchedValue> watch(String key, long index, Duration wait) {
        String step = "watch " + key;
        String query = "?index=" + index + "&wait=" + wait.toSeconds() + "s";
        return mHttp.get(step, PATH + PlatformHttpClient.encode(key) + query, wait)
                .thenApply(
                        response ->
                                new WatchedValue(
                                        value(step, key, response), mHttp.index(step, response)));
    }

    @Override
    public CompletableFuture<SwapResult> compareAndSwap(String key, String value, long index) {
        String step = "swap " + key;
        return mHttp.put(step, PATH + PlatformHttpClient.encode(key) + "?cas=" + index, value)
                .thenApply(response -> swapResult(step, response));
    }

    private Optional<StoredValue> value(String step, String key, AggregatedHttpResponse response) {
        if (response.status().equals(HttpStatus.NOT_FOUND)) {
            return Optional.empty();
        }
        JsonNode entry = mHttp.json(step, response).path(0);
        JsonNode index = entry.path("ModifyIndex");
        if (!index.isIntegralNumber()) {
            throw new OperationException(step, mHttp.peer(), "The answer has no ModifyIndex.");
        }
        return Optional.of(new StoredValue(key, decode(step, entry), index.asLong()));
    }

    private String decode(String step, JsonNode entry) {
        try {
            byte[] bytes = Base64.getDecoder().decode(entry.path("Value").asText(""));
            return new String(bytes, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException failure) {
            throw new OperationException(step, mHttp.peer(), "The value isn't base64.", failure);
        }
    }

    private SwapResult swapResult(String step, AggregatedHttpResponse response) {
        return switch (response.contentUtf8().trim()) {
            case "true" -> SwapResult.SWAPPED;
            case "false" -> SwapResult.CONFLICT;
            default ->
                    throw new OutcomeUnknownException(
                            step, mHttp.peer(), "The answer is neither true nor false.", null);
        };
    }
}
