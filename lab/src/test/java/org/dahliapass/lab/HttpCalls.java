package org.dahliapass.lab;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.RequestHeaders;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.dahliapass.model.Endpoint;

/** What callers and operators ask of a VM over HTTP. */
final class HttpCalls {
    /**
     * An address that an ask names.
     *
     * @param address where to send requests
     * @param token the beginning of keys for guarded requests to it
     */
    record Address(String address, String token) {}

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private HttpCalls() {}

    /** Sends a GET request and returns the whole answer. */
    static AggregatedHttpResponse get(Endpoint endpoint, String path) {
        return getAsync(endpoint, path).join();
    }

    /** Sends a GET request; fails if the answer doesn't come whole. */
    static CompletableFuture<AggregatedHttpResponse> getAsync(Endpoint endpoint, String path) {
        return client("http", endpoint).get(path).aggregate();
    }

    /** Sends a guarded request, over a connection of its own. */
    static CompletableFuture<AggregatedHttpResponse> post(
            Endpoint endpoint, String path, String key) {
        RequestHeaders headers =
                RequestHeaders.builder(HttpMethod.POST, path).set("idempotency-key", key).build();
        return client("h1c", endpoint)
                .execute(HttpRequest.of(headers, HttpData.ofUtf8("{}")))
                .aggregate();
    }

    /** Returns a client that waits as long as a test does; {@code h1c} opens own connections. */
    static WebClient client(String protocol, Endpoint endpoint) {
        return WebClient.builder(protocol + "://" + endpoint)
                .responseTimeout(TestPlatform.LIMIT)
                .maxResponseLength(0)
                .build();
    }

    /** Asks a VM which addresses serve {@code himal}'s desk; none if it doesn't answer. */
    static List<Address> discover(Endpoint callers) {
        AggregatedHttpResponse answer = get(callers, "/ask?customer=himal&service=desk");
        List<Address> addresses = new ArrayList<>();
        if (answer.status().isSuccess()) {
            json(answer)
                    .path("addresses")
                    .forEach(
                            node ->
                                    addresses.add(
                                            new Address(
                                                    node.path("address").asText(),
                                                    node.path("token").asText())));
        }
        return addresses;
    }

    /** Asks a VM what became of an operation of {@code himal}: ran, running, not-run or unknown. */
    static String outcome(Endpoint callers, String key) {
        return get(callers, "/outcomes/himal/" + key).headers().get("x-outcome");
    }

    /** Returns how many VMs a VM sees alive. */
    static int aliveMembers(Endpoint operators) {
        return (int) memberStates(operators).stream().filter("alive"::equals).count();
    }

    /** Returns the states in which a VM sees all VMs. */
    static List<String> memberStates(Endpoint operators) {
        return json(get(operators, "/operations/members")).findValuesAsText("state");
    }

    /** Returns the state in which a VM holds a target; empty if it doesn't know it. */
    static Optional<String> targetState(Endpoint operators, Endpoint target) {
        for (JsonNode node : json(get(operators, "/operations/targets"))) {
            if (node.path("target").asText().equals(target.toString())) {
                return Optional.of(node.path("state").asText());
            }
        }
        return Optional.empty();
    }

    /** Reads an answer as JSON. */
    static JsonNode json(AggregatedHttpResponse answer) {
        try {
            return MAPPER.readTree(answer.contentUtf8());
        } catch (JsonProcessingException failure) {
            throw new AssertionError("Not JSON: " + answer.contentUtf8(), failure);
        }
    }
}
