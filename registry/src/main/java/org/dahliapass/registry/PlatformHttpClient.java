package org.dahliapass.registry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
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
import org.dahliapass.kernel.OperationException;
import org.dahliapass.model.Endpoint;
import org.dahliapass.platform.OutcomeUnknownException;

/** Sends the platform's HTTP calls, each with a time-out, and turns failures into typed ones. */
final class PlatformHttpClient {
    static final ObjectMapper JSON = new ObjectMapper();

    /** A blocking read may be held up to a sixteenth longer than asked for. */
    private static final int WAIT_SPREAD = 16;

    private static final String INDEX_HEADER = "x-consul-index";

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
                        .build();
    }

    String peer() {
        return mPeer;
    }

    /** Reads; the answer has status 200 or 404. */
    CompletableFuture<AggregatedHttpResponse> get(String step, String path, Duration wait) {
        Duration limit = mTimeout.plus(wait).plus(wait.dividedBy(WAIT_SPREAD));
        return mClient.prepare()
                .get(path)
                .responseTimeout(limit)
                .execute()
                .aggregate()
                .handle((response, failure) -> readAnswer(step, response, failure));
    }

    /** Writes; the answer has status 200. */
    CompletableFuture<AggregatedHttpResponse> put(String step, String path, String body) {
        return mClient.prepare()
                .method(HttpMethod.PUT)
                .path(path)
                .header(HttpHeaderNames.CONTENT_TYPE, MediaType.JSON_UTF_8)
                .content(MediaType.JSON_UTF_8, body)
                .responseTimeout(mTimeout)
                .execute()
                .aggregate()
                .handle((response, failure) -> writeAnswer(step, response, failure));
    }

    /** Parses an answer's JSON body. */
    JsonNode json(String step, AggregatedHttpResponse response) {
        try {
            return JSON.readTree(response.contentUtf8());
        } catch (JsonProcessingException failure) {
            throw new OperationException(step, mPeer, "The answer isn't JSON.", failure);
        }
    }

    /** Returns the index that the answer's header states. */
    long index(String step, AggregatedHttpResponse response) {
        long index = response.headers().getLong(INDEX_HEADER, -1);
        if (index < 0) {
            throw new OperationException(step, mPeer, "The answer has no X-Consul-Index.");
        }
        return index;
    }

    /** Returns the path with each segment percent-encoded. */
    static String encode(String key) {
        return Arrays.stream(key.split("/", -1))
                .map(part -> URLEncoder.encode(part, StandardCharsets.UTF_8).replace("+", "%20"))
                .collect(Collectors.joining("/"));
    }

    private AggregatedHttpResponse readAnswer(
            String step, AggregatedHttpResponse response, Throwable failure) {
        if (failure != null) {
            throw new OperationException(step, mPeer, "No answer: " + cause(failure), failure);
        }
        HttpStatus status = response.status();
        if (!status.equals(HttpStatus.OK) && !status.equals(HttpStatus.NOT_FOUND)) {
            throw new OperationException(step, mPeer, "Answered with status " + status + ".");
        }
        return response;
    }

    /**
     * Guards against an answer that is lost after the write took effect: it shows as a time-out, a
     * closed connection or a server error, and reading it as "not written" would lose a change.
     * Only a request that was never sent, or one that the store refused by a client-error status,
     * counts as not written.
     */
    private AggregatedHttpResponse writeAnswer(
            String step, AggregatedHttpResponse response, Throwable failure) {
        if (failure != null && neverSent(failure)) {
            throw new OperationException(step, mPeer, "Not sent: " + cause(failure), failure);
        }
        if (failure != null) {
            throw new OutcomeUnknownException(step, mPeer, "No answer: " + cause(failure), failure);
        }
        HttpStatus status = response.status();
        if (status.equals(HttpStatus.OK)) {
            return response;
        }
        if (status.codeClass() == HttpStatusClass.CLIENT_ERROR) {
            throw new OperationException(step, mPeer, "Refused with status " + status + ".");
        }
        throw new OutcomeUnknownException(
                step, mPeer, "Answered with status " + status + ".", null);
    }

    private static boolean neverSent(Throwable failure) {
        return unwrap(failure) instanceof UnprocessedRequestException;
    }

    private static String cause(Throwable failure) {
        return unwrap(failure).getClass().getSimpleName() + ".";
    }

    private static Throwable unwrap(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null
                ? failure.getCause()
                : failure;
    }
}
