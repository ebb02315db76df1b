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

/** Creates the HTTP responses and JSON services that all stand-ins share. */
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
            throw new IllegalArgumentException("value can't be encoded as JSON: " + value, failure);
        }
    }

    /**
     * Parses JSON text as a value of the type.
     *
     * @throws IllegalArgumentException if the text isn't valid JSON of that type
     */
    static <T> T decode(String json, Class<T> type) {
        try {
            return MAPPER.readValue(json, type);
        } catch (JsonProcessingException failure) {
            throw new IllegalArgumentException(
                    "request body isn't a JSON "
                            + type.getSimpleName()
                            + ": "
                            + failure.getOriginalMessage(),
                    failure);
        }
    }

    /** Returns a service that responds with the supplier's current value as JSON. */
    static HttpService valueService(Supplier<?> value) {
        return (context, request) -> json(value.get());
    }

    /** Returns a service that replaces a state by the JSON body and responds with the new state. */
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

    /** Closes the request's connection without a response. */
    static HttpResponse closeConnection(ServiceRequestContext context) {
        Future<?> unused =
                context.log().ensureAvailable(RequestLogProperty.SESSION).channel().close();
        return HttpResponse.ofFailure(AbortedStreamException.get());
    }
}
