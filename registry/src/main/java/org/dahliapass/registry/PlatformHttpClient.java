package org.dahliapass.registry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.ClientFactoryOptions;
import com.linecorp.armeria.client.UnprocessedRequestException;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.HttpStatusClass;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.SessionProtocol;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.stream.Collectors;
import org.dahliapass.http.ResponseValidation;
import org.dahliapass.kernel.OperationException;
import org.dahliapass.model.Endpoint;
import org.dahliapass.platform.OutcomeUnknownException;

/** An HTTP client for the platform's APIs, with timeouts and typed exceptions. */
final class PlatformHttpClient {
    static final ObjectMapper JSON = new ObjectMapper();

    /** The server may hold a blocking read up to 1/16 longer than requested. */
    private static final int WAIT_JITTER_DIVISOR = 16;

    private static final String INDEX_HEADER = "x-consul-index";

    private static final ClientFactory CLIENT_FACTORY =
            ClientFactory.builder()
                    .option(
                            ClientFactoryOptions.CHANNEL_PIPELINE_CUSTOMIZER,
                            ResponseValidation::install)
                    .build();

    private final WebClient mClient;
    private final String mPeer;
    private final Duration mTimeout;

    PlatformHttpClient(Endpoint peer, Duration timeout) {
        mPeer = peer.toString();
        mTimeout = timeout;
        mClient =
                WebClient.builder(
                                SessionProtocol.H1C,
                                com.linecorp.armeria.client.Endpoint.of(peer.host(), peer.port()))
                        .factory(CLIENT_FACTORY)
                        .build();
    }

    String peer() {
        return mPeer;
    }

    /** Sends a GET request; the response has status 200 or 404. */
    CompletableFuture<AggregatedHttpResponse> get(String operation, String path, Duration wait) {
        Duration timeout = mTimeout.plus(wait).plus(wait.dividedBy(WAIT_JITTER_DIVISOR));
        return mClient.prepare()
                .get(path)
                .responseTimeout(timeout)
                .execute()
                .aggregate()
                .handle((response, failure) -> checkReadResponse(operation, response, failure));
    }

    /** Sends a PUT request; the response has status 200. */
    CompletableFuture<AggregatedHttpResponse> put(String operation, String path, String body) {
        return mClient.prepare()
                .method(HttpMethod.PUT)
                .path(path)
                .header(HttpHeaderNames.CONTENT_TYPE, MediaType.JSON_UTF_8)
                .content(MediaType.JSON_UTF_8, body)
                .responseTimeout(mTimeout)
                .execute()
                .aggregate()
                .handle((response, failure) -> checkWriteResponse(operation, response, failure));
    }

    /** Parses the JSON body of a response. */
    JsonNode json(String operation, AggregatedHttpResponse response) {
        try {
            return JSON.readTree(response.contentUtf8());
        } catch (JsonProcessingException failure) {
            throw new OperationException(
                    operation, mPeer, "The response isn't valid JSON.", failure);
        }
    }

    /** Returns the index in the response's header. */
    long index(String operation, AggregatedHttpResponse response) {
        long index = response.headers().getLong(INDEX_HEADER, -1);
        if (index < 0) {
            throw new OperationException(
                    operation, mPeer, "The response has no X-Consul-Index header.");
        }
        return index;
    }

    /** Returns the path with each segment percent-encoded. */
    static String encode(String key) {
        return Arrays.stream(key.split("/", -1))
                .map(part -> URLEncoder.encode(part, StandardCharsets.UTF_8).replace("+", "%20"))
                .collect(Collectors.joining("/"));
    }

    private AggregatedHttpResponse checkReadResponse(
            String operation, AggregatedHttpResponse response, Throwable failure) {
        if (failure != null) {
            throw new OperationException(
                    operation, mPeer, "No response: " + describe(failure), failure);
        }
        HttpStatus status = response.status();
        if (!status.equals(HttpStatus.OK) && !status.equals(HttpStatus.NOT_FOUND)) {
            throw new OperationException(operation, mPeer, "Unexpected status " + status + ".");
        }
        return response;
    }

    /**
     * Checks the response to a write.
     *
     * <p>After a timeout, a closed connection or a server error, the write may have taken effect,
     * so its outcome is unknown. It counts as not written only if the request was never sent or was
     * rejected with a client error.
     */
    private AggregatedHttpResponse checkWriteResponse(
            String operation, AggregatedHttpResponse response, Throwable failure) {
        if (failure != null && isUnprocessed(failure)) {
            throw new OperationException(
                    operation, mPeer, "Not sent: " + describe(failure), failure);
        }
        if (failure != null) {
            throw new OutcomeUnknownException(
                    operation, mPeer, "No response: " + describe(failure), failure);
        }
        HttpStatus status = response.status();
        if (status.equals(HttpStatus.OK)) {
            return response;
        }
        if (status.codeClass() == HttpStatusClass.CLIENT_ERROR) {
            throw new OperationException(operation, mPeer, "Rejected with status " + status + ".");
        }
        throw new OutcomeUnknownException(
                operation, mPeer, "Unexpected status " + status + ".", null);
    }

    private static boolean isUnprocessed(Throwable failure) {
        return unwrap(failure) instanceof UnprocessedRequestException;
    }

    private static String describe(Throwable failure) {
        return unwrap(failure).getClass().getSimpleName() + ".";
    }

    private static Throwable unwrap(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null
                ? failure.getCause()
                : failure;
    }
}
