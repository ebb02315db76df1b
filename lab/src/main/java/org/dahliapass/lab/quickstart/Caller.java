package org.dahliapass.lab.quickstart;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.dahliapass.kernel.OperationException;

/** A caller as docs/CALLERS.md tells it to be: asks, keeps the answer, sends, takes refusals. */
final class Caller {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int OK = 200;

    private final String mAsked;
    private final ClientFactory mFactory;

    Caller(String asked, ClientFactory factory) {
        mAsked = asked;
        mFactory = factory;
    }

    /**
     * An address that an ask gave.
     *
     * @param address where to send requests
     * @param token the beginning of keys for guarded requests there
     */
    record Address(String address, String token) {}

    /** Asks which addresses to use. */
    List<Address> discover(String customer, String service) {
        String path = "/ask?customer=" + customer + "&service=" + service;
        AggregatedHttpResponse answer = client(mAsked).get(path).aggregate().join();
        if (answer.status().code() != OK) {
            throw new OperationException(
                    "ask", mAsked, answer.status() + " " + answer.contentUtf8());
        }
        try {
            List<Address> addresses = new ArrayList<>();
            for (JsonNode node : MAPPER.readTree(answer.contentUtf8()).path("addresses")) {
                addresses.add(
                        new Address(node.path("address").asText(), node.path("token").asText()));
            }
            return addresses;
        } catch (IOException failure) {
            throw new OperationException("ask", mAsked, "The answer isn't JSON.", failure);
        }
    }

    /** Sends a GET request. */
    HttpResponse get(String address, String path) {
        return client(address).get(path);
    }

    /** Sends a guarded POST request. */
    HttpResponse post(String address, String path, String key, String body) {
        RequestHeadersBuilder headers = RequestHeaders.builder(HttpMethod.POST, path);
        headers.set("idempotency-key", key);
        return client(address).execute(HttpRequest.of(headers.build(), HttpData.ofUtf8(body)));
    }

    private WebClient client(String address) {
        return WebClient.builder("http://" + address)
                .factory(mFactory)
                .responseTimeoutMillis(0)
                .maxResponseLength(0)
                .build();
    }
}
