package org.dahliapass.standins;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.logging.RequestLogProperty;
import com.linecorp.armeria.common.stream.AbortedStreamException;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Answers that all stand-ins share: JSON, and connections that end without one. */
final class HttpResponses {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private HttpResponses() {}

    /** Returns the value as JSON with status 200. */
    static HttpResponse json(Object value) {
        return HttpResponse.of(HttpStatus.OK, MediaType.JSON_UTF_8, HttpData.wrap(encode(value)));
    }

    static byte[] encode(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException failure) {
            throw new IllegalArgumentException("not a JSON value: " + value, failure);
        }
    }

    /**
     * Reads a JSON value.
     *
     * @throws IllegalArgumentException if it isn't one of that type
     */
    static <T> T decode(String json, Class<T> type) {
        try {
            return MAPPER.readValue(json, type);
        } catch (JsonProcessingException failure) {
            throw new IllegalArgumentException(
                    "send a JSON " + type.getSimpleName() + ": " + failure.getOriginalMessage(),
                    failure);
        }
    }

    /** Returns a service that answers with a value read at each call. */
    static HttpService valueService(Supplier<?> value) {
        return (context, request) -> json(value.get());
    }

    /** Returns a service that takes a JSON body as the whole new state and answers with it. */
    static <T> HttpService replaceService(Class<T> type, Consumer<T> target) {
        return (context, request) ->
                HttpResponse.of(
                        request.aggregate()
                                .thenApply(
                                        body -> {
                                            T state = decode(body.contentUtf8(), type);
                                            target.accept(state);
                                            return json(state);
                                        }));
    }

    /** Closes the connection that a request came on, so that the caller gets no answer. */
    static HttpResponse closeConnection(ServiceRequestContext context) {
        Future<?> unused =
                context.log().ensureAvailable(RequestLogProperty.SESSION).channel().close();
        return HttpResponse.ofFailure(AbortedStreamException.get());
    }
}
