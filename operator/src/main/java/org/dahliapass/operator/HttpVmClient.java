package org.dahliapass.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.QueryParams;
import com.linecorp.armeria.common.SessionProtocol;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.dahliapass.kernel.OperationException;
import org.dahliapass.model.Endpoint;

/** Asks VMs over HTTP; each call has a time-out. */
public final class HttpVmClient implements VmClient {
    private static final String BASE_PATH = "/operations/";
    private static final ObjectMapper JSON =
            JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

    private final Duration mTimeout;

    /** Creates a client whose calls take at most this long. */
    public HttpVmClient(Duration timeout) {
        mTimeout = timeout;
    }

    @Override
    public CompletableFuture<String> status(Endpoint vm) {
        String step = "read status";
        return call(step, vm, HttpMethod.GET, "status")
                .thenApply(response -> parseFound(step, vm, response).toPrettyString());
    }

    @Override
    public CompletableFuture<List<Member>> members(Endpoint vm) {
        String step = "read members";
        return call(step, vm, HttpMethod.GET, "members")
                .thenApply(response -> parseMembers(step, vm, parseFound(step, vm, response)));
    }

    @Override
    public CompletableFuture<TemplateStatus> template(Endpoint vm, String customer) {
        String step = "read template";
        return call(step, vm, HttpMethod.GET, "templates/" + customer)
                .thenApply(response -> parseTemplate(step, vm, response));
    }

    @Override
    public CompletableFuture<List<Explanation>> explanations(Endpoint vm, ExplanationQuery query) {
        String step = "read explanations";
        var parameters = QueryParams.builder();
        query.target().ifPresent(target -> parameters.add("target", target));
        query.request().ifPresent(request -> parameters.add("request", request));
        query.customer().ifPresent(customer -> parameters.add("customer", customer));
        query.sinceMillis().ifPresent(since -> parameters.addLong("since", since));
        String path = "explanations?" + parameters.build().toQueryString();
        return call(step, vm, HttpMethod.GET, path)
                .thenApply(response -> parseExplanations(step, vm, response));
    }

    @Override
    public CompletableFuture<Void> drain(Endpoint vm) {
        return call("drain", vm, HttpMethod.POST, "drain").thenApply(response -> null);
    }

    private CompletableFuture<AggregatedHttpResponse> call(
            String step, Endpoint vm, HttpMethod method, String path) {
        return WebClient.builder(
                        SessionProtocol.H1C,
                        com.linecorp.armeria.client.Endpoint.of(vm.host(), vm.port()))
                .factory(ClientFactory.ofDefault())
                .responseTimeout(mTimeout)
                .build()
                .prepare()
                .method(method)
                .path(BASE_PATH + path)
                .execute()
                .aggregate()
                .handle((response, failure) -> requireUsableResponse(step, vm, response, failure));
    }

    private static AggregatedHttpResponse requireUsableResponse(
            String step, Endpoint vm, AggregatedHttpResponse response, Throwable failure) {
        if (failure != null) {
            String message = "No answer; check the address and that the VM runs.";
            throw new OperationException(step, vm.toString(), message, failure);
        }
        HttpStatus status = response.status();
        if (!status.isSuccess() && !status.equals(HttpStatus.NOT_FOUND)) {
            throw new OperationException(
                    step, vm.toString(), "Answered with status " + status + ".");
        }
        return response;
    }

    private static JsonNode parseFound(String step, Endpoint vm, AggregatedHttpResponse response) {
        if (response.status().equals(HttpStatus.NOT_FOUND)) {
            String message = "The VM doesn't know this path; check that it is a VM's address.";
            throw new OperationException(step, vm.toString(), message);
        }
        return parse(step, vm, response);
    }

    private static JsonNode parse(String step, Endpoint vm, AggregatedHttpResponse response) {
        try {
            return JSON.readTree(response.contentUtf8());
        } catch (JsonProcessingException failure) {
            throw new OperationException(step, vm.toString(), "The answer isn't JSON.", failure);
        }
    }

    private static List<Member> parseMembers(String step, Endpoint vm, JsonNode array) {
        List<Member> members = new ArrayList<>();
        for (JsonNode entry : array) {
            String name = entry.path("name").asText();
            String operators = entry.path("operators").asText();
            Endpoint endpoint =
                    Endpoint.parse(operators)
                            .orElseThrow(
                                    () ->
                                            new OperationException(
                                                    step,
                                                    vm.toString(),
                                                    "Member "
                                                            + name
                                                            + " has no operators'"
                                                            + " address, but '"
                                                            + operators
                                                            + "'."));
            members.add(new Member(name, endpoint, entry.path("state").asText()));
        }
        return members;
    }

    private static TemplateStatus parseTemplate(
            String step, Endpoint vm, AggregatedHttpResponse response) {
        boolean held = response.status().isSuccess();
        if (!held && !response.contentUtf8().startsWith("{")) {
            return new TemplateStatus(false, 0, 0);
        }
        JsonNode node = parse(step, vm, response);
        return new TemplateStatus(
                held, node.path("number").asLong(), node.path("headNumber").asLong());
    }

    private static List<Explanation> parseExplanations(
            String step, Endpoint vm, AggregatedHttpResponse response) {
        try {
            return JSON.convertValue(parseFound(step, vm, response), new TypeReference<>() {});
        } catch (IllegalArgumentException failure) {
            throw new OperationException(
                    step, vm.toString(), "The answer isn't a list of explanations.", failure);
        }
    }
}
