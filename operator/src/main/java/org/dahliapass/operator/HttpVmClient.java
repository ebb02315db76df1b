package org.dahliapass.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.ClientFactoryOptions;
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
import org.dahliapass.http.ResponseValidation;
import org.dahliapass.kernel.OperationException;
import org.dahliapass.model.Endpoint;

/** A {@link VmClient} over HTTP with a timeout for each call. */
public final class HttpVmClient implements VmClient {
    private static final String BASE_PATH = "/operations/";
    private static final ObjectMapper JSON =
            JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

    private static final ClientFactory CLIENT_FACTORY =
            ClientFactory.builder()
                    .option(
                            ClientFactoryOptions.CHANNEL_PIPELINE_CUSTOMIZER,
                            ResponseValidation::install)
                    .build();

    private final Duration mTimeout;

    /** Creates a client with a timeout for each call. */
    public HttpVmClient(Duration timeout) {
        mTimeout = timeout;
    }

    @Override
    public CompletableFuture<String> status(Endpoint vm) {
        String operation = "read status";
        return call(operation, vm, HttpMethod.GET, "status")
                .thenApply(response -> parseFound(operation, vm, response).toPrettyString());
    }

    @Override
    public CompletableFuture<List<Member>> members(Endpoint vm) {
        String operation = "read members";
        return call(operation, vm, HttpMethod.GET, "members")
                .thenApply(
                        response ->
                                parseMembers(operation, vm, parseFound(operation, vm, response)));
    }

    @Override
    public CompletableFuture<TemplateStatus> template(Endpoint vm, String customer) {
        String operation = "read template";
        return call(operation, vm, HttpMethod.GET, "templates/" + customer)
                .thenApply(response -> parseTemplate(operation, vm, response));
    }

    @Override
    public CompletableFuture<List<Explanation>> explanations(Endpoint vm, ExplanationQuery query) {
        String operation = "read explanations";
        var parameters = QueryParams.builder();
        query.target().ifPresent(target -> parameters.add("target", target));
        query.request().ifPresent(request -> parameters.add("request", request));
        query.customer().ifPresent(customer -> parameters.add("customer", customer));
        query.sinceMillis().ifPresent(since -> parameters.addLong("since", since));
        String path = "explanations?" + parameters.build().toQueryString();
        return call(operation, vm, HttpMethod.GET, path)
                .thenApply(response -> parseExplanations(operation, vm, response));
    }

    @Override
    public CompletableFuture<Void> drain(Endpoint vm) {
        return call("drain", vm, HttpMethod.POST, "drain").thenApply(response -> null);
    }

    private CompletableFuture<AggregatedHttpResponse> call(
            String operation, Endpoint vm, HttpMethod method, String path) {
        return WebClient.builder(
                        SessionProtocol.H1C,
                        com.linecorp.armeria.client.Endpoint.of(vm.host(), vm.port()))
                .factory(CLIENT_FACTORY)
                .responseTimeout(mTimeout)
                .build()
                .prepare()
                .method(method)
                .path(BASE_PATH + path)
                .execute()
                .aggregate()
                .handle(
                        (response, failure) ->
                                requireUsableResponse(operation, vm, response, failure));
    }

    private static AggregatedHttpResponse requireUsableResponse(
            String operation, Endpoint vm, AggregatedHttpResponse response, Throwable failure) {
        if (failure != null) {
            String message = "No response; check the address and that the VM is running.";
            throw new OperationException(operation, vm.toString(), message, failure);
        }
        HttpStatus status = response.status();
        if (!status.isSuccess() && !status.equals(HttpStatus.NOT_FOUND)) {
            throw new OperationException(
                    operation, vm.toString(), "Unexpected response status " + status + ".");
        }
        return response;
    }

    private static JsonNode parseFound(
            String operation, Endpoint vm, AggregatedHttpResponse response) {
        if (response.status().equals(HttpStatus.NOT_FOUND)) {
            String message = "Path not found; check that this is a VM's operators' address.";
            throw new OperationException(operation, vm.toString(), message);
        }
        return parse(operation, vm, response);
    }

    private static JsonNode parse(String operation, Endpoint vm, AggregatedHttpResponse response) {
        try {
            return JSON.readTree(response.contentUtf8());
        } catch (JsonProcessingException failure) {
            throw new OperationException(
                    operation, vm.toString(), "The response isn't valid JSON.", failure);
        }
    }

    private static List<Member> parseMembers(String operation, Endpoint vm, JsonNode array) {
        List<Member> members = new ArrayList<>();
        for (JsonNode entry : array) {
            String name = entry.path("name").asText();
            String operators = entry.path("operators").asText();
            Endpoint endpoint =
                    Endpoint.parse(operators)
                            .orElseThrow(
                                    () ->
                                            new OperationException(
                                                    operation,
                                                    vm.toString(),
                                                    "Member "
                                                            + name
                                                            + " has the operators'"
                                                            + " address '"
                                                            + operators
                                                            + "'; expected HOST:PORT."));
            members.add(new Member(name, endpoint, entry.path("state").asText()));
        }
        return members;
    }

    private static TemplateStatus parseTemplate(
            String operation, Endpoint vm, AggregatedHttpResponse response) {
        boolean held = response.status().isSuccess();
        if (!held && !response.contentUtf8().startsWith("{")) {
            return new TemplateStatus(false, 0, 0);
        }
        JsonNode node = parse(operation, vm, response);
        return new TemplateStatus(
                held, node.path("number").asLong(), node.path("headNumber").asLong());
    }

    private static List<Explanation> parseExplanations(
            String operation, Endpoint vm, AggregatedHttpResponse response) {
        try {
            return JSON.convertValue(parseFound(operation, vm, response), new TypeReference<>() {});
        } catch (IllegalArgumentException failure) {
            throw new OperationException(
                    operation,
                    vm.toString(),
                    "The response isn't a list of explanations.",
                    failure);
        }
    }
}
