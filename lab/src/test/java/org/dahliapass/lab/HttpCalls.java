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

/** The HTTP requests of callers and operators to a VM. */
final class HttpCalls {
    /**
     * An address from a discovery response.
     *
     * @param address the address of a VM
     * @param token the prefix of idempotency keys for guarded requests to this VM
     */
    record Address(String address, String token) {}

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private HttpCalls() {}

    /** Sends a GET request and returns the complete response. */
    static AggregatedHttpResponse get(Endpoint endpoint, String path) {
        return getAsync(endpoint, path).join();
    }

    /** Sends a GET request; the future fails if the response is incomplete. */
    static CompletableFuture<AggregatedHttpResponse> getAsync(Endpoint endpoint, String path) {
        return client("http", endpoint).get(path).aggregate();
    }

    /** Sends a guarded request over a separate connection. */
    static CompletableFuture<AggregatedHttpResponse> post(
            Endpoint endpoint, String path, String key) {
        RequestHeaders headers =
                RequestHeaders.builder(HttpMethod.POST, path).set("idempotency-key", key).build();
        return client("h1c", endpoint)
                .execute(HttpRequest.of(headers, HttpData.ofUtf8("{}")))
                .aggregate();
    }

    /** Returns a client with the tests' timeout; {@code h1c} opens separate connections. */
    static WebClient client(String protocol, Endpoint endpoint) {
        return WebClient.builder(protocol + "://" + endpoint)
                .responseTimeout(TestPlatform.LIMIT)
                .maxResponseLength(0)
                .build();
    }

    /** Returns the addresses for {@code himal}'s desk; empty if the VM refuses discovery. */
    static List<Address> discover(Endpoint callers) {
        AggregatedHttpResponse response = get(callers, "/ask?customer=himal&service=desk");
        List<Address> addresses = new ArrayList<>();
        if (response.status().isSuccess()) {
            json(response)
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

    /** Returns the outcome of an operation of {@code himal}: ran, running, not-run or unknown. */
    static String outcome(Endpoint callers, String key) {
        return get(callers, "/outcomes/himal/" + key).headers().get("x-outcome");
    }

    /** Returns the number of VMs that a VM considers alive. */
    static int aliveMembers(Endpoint operators) {
        return (int) memberStates(operators).stream().filter("alive"::equals).count();
    }

    /** Returns the states of all VMs in a VM's membership list. */
    static List<String> memberStates(Endpoint operators) {
        return json(get(operators, "/operations/members")).findValuesAsText("state");
    }

    /** Returns a VM's state for a target; empty if the VM doesn't know the target. */
    static Optional<String> targetState(Endpoint operators, Endpoint target) {
        for (JsonNode node : json(get(operators, "/operations/targets"))) {
            if (node.path("target").asText().equals(target.toString())) {
                return Optional.of(node.path("state").asText());
            }
        }
        return Optional.empty();
    }

    /** Parses a response as JSON. */
    static JsonNode json(AggregatedHttpResponse response) {
        try {
            return MAPPER.readTree(response.contentUtf8());
        } catch (JsonProcessingException failure) {
            throw new AssertionError(
                    "Response is not valid JSON: " + response.contentUtf8(), failure);
        }
    }
}
