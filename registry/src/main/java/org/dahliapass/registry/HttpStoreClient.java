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

/** A client of the key-value store API of Consul, version 1. */
public final class HttpStoreClient implements StoreClient {
    private static final String KEY_VALUE_PATH = "/v1/kv/";

    private final PlatformHttpClient mHttp;

    /**
     * Creates a client.
     *
     * @param store the store's address
     * @param timeout the response timeout, in addition to the wait of a blocking read
     */
    public HttpStoreClient(Endpoint store, Duration timeout) {
        mHttp = new PlatformHttpClient(store, timeout);
    }

    @Override
    public CompletableFuture<Optional<StoredValue>> read(String key) {
        String operation = "read " + key;
        return mHttp.get(operation, KEY_VALUE_PATH + PlatformHttpClient.encode(key), Duration.ZERO)
                .thenApply(response -> parseValue(operation, key, response));
    }

    @Override
    public CompletableFuture<WatchedValue> watch(String key, long index, Duration wait) {
        String operation = "watch " + key;
        String query = "?index=" + index + "&wait=" + wait.toSeconds() + "s";
        return mHttp.get(operation, KEY_VALUE_PATH + PlatformHttpClient.encode(key) + query, wait)
                .thenApply(
                        response ->
                                new WatchedValue(
                                        parseValue(operation, key, response),
                                        mHttp.index(operation, response)));
    }

    @Override
    public CompletableFuture<SwapResult> compareAndSwap(String key, String value, long index) {
        String operation = "swap " + key;
        return mHttp.put(
                        operation,
                        KEY_VALUE_PATH + PlatformHttpClient.encode(key) + "?cas=" + index,
                        value)
                .thenApply(response -> parseSwapResult(operation, response));
    }

    private Optional<StoredValue> parseValue(
            String operation, String key, AggregatedHttpResponse response) {
        if (response.status().equals(HttpStatus.NOT_FOUND)) {
            return Optional.empty();
        }
        JsonNode entry = mHttp.json(operation, response).path(0);
        JsonNode index = entry.path("ModifyIndex");
        if (!index.isIntegralNumber()) {
            throw new OperationException(
                    operation, mHttp.peer(), "The response has no ModifyIndex.");
        }
        return Optional.of(new StoredValue(key, decodeValue(operation, entry), index.asLong()));
    }

    private String decodeValue(String operation, JsonNode entry) {
        try {
            byte[] bytes = Base64.getDecoder().decode(entry.path("Value").asText(""));
            return new String(bytes, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException failure) {
            throw new OperationException(
                    operation, mHttp.peer(), "The value isn't valid base64.", failure);
        }
    }

    private SwapResult parseSwapResult(String operation, AggregatedHttpResponse response) {
        return switch (response.contentUtf8().trim()) {
            case "true" -> SwapResult.SWAPPED;
            case "false" -> SwapResult.CONFLICT;
            default ->
                    throw new OutcomeUnknownException(
                            operation,
                            mHttp.peer(),
                            "The response is neither true nor false.",
                            null);
        };
    }
}
