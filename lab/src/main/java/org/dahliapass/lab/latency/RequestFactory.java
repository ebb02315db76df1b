package org.dahliapass.lab.latency;

import com.fasterxml.jackson.core.JsonProcessingException;
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
import com.linecorp.armeria.common.util.Exceptions;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.dahliapass.kernel.OperationException;

/** Makes the requests of a load, for a VM and for the target behind it. */
final class RequestFactory {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int OK = 200;
    private static final Duration MOST_WAITED = Duration.ofSeconds(30);
    private static final HttpData BODY = HttpData.ofUtf8("{}");

    private final String mVm;
    private final String mCustomer;
    private final String mService;
    private final WebClient mVmClient;
    private final WebClient mTargetClient;
    private final Map<String, Long> mWrongs = new ConcurrentHashMap<>();
    private final AtomicLong mNextKey = new AtomicLong();

    RequestFactory(
            ClientFactory factory, String vm, String target, String customer, String service) {
        mVm = vm;
        mCustomer = customer;
        mService = service;
        mVmClient = client(factory, vm);
        mTargetClient = client(factory, target);
    }

    private static WebClient client(ClientFactory factory, String address) {
        return WebClient.builder("h1c://" + address)
                .factory(factory)
                .responseTimeout(MOST_WAITED)
                .maxResponseLength(0)
                .build();
    }

    /** Returns what sends idempotent GET requests to the target. */
    RequestSender directReads(String path) {
        return () -> judged(mTargetClient.get(path));
    }

    /** Returns what sends the same GET requests to the VM. */
    RequestSender readsViaVm(String path) {
        return () -> judged(mVmClient.get(prefix() + path));
    }

    /** Returns what sends POST requests to the target, each under a key of its own. */
    RequestSender directOperations(String path) {
        return () -> judged(mTargetClient.execute(operation(path, "direct")));
    }

    /** Returns what sends guarded POST requests to the VM, with a token asked for now. */
    RequestSender operationsViaVm(String path) {
        String token = token();
        return () -> judged(mVmClient.execute(operation(prefix() + path, token)));
    }

    /**
     * Sends a GET request to the VM and returns the answer as it arrives, however long it takes.
     */
    HttpResponse streamViaVm(String path) {
        return mVmClient.prepare().get(prefix() + path).responseTimeout(Duration.ZERO).execute();
    }

    private String prefix() {
        return "/services/" + mCustomer + "/" + mService;
    }

    private HttpRequest operation(String path, String token) {
        String key = token + ".load-" + mNextKey.incrementAndGet();
        return HttpRequest.of(
                RequestHeaders.of(HttpMethod.POST, path, "idempotency-key", key), BODY);
    }

    private CompletableFuture<Boolean> judged(HttpResponse response) {
        return response.aggregate()
                .handle(
                        (answer, failure) -> {
                            if (failure != null) {
                                return wrong(Exceptions.peel(failure).getClass().getSimpleName());
                            }
                            return answer.status().code() == OK || wrong(described(answer));
                        });
    }

    private static String described(AggregatedHttpResponse answer) {
        return answer.status().code() + " " + answer.contentUtf8().replaceAll(".*\"reason\":", "");
    }

    private boolean wrong(String description) {
        mWrongs.merge(description, 1L, Long::sum);
        return false;
    }

    /** Returns the wrong answers so far, by what they were, with their counts. */
    Map<String, Long> errors() {
        return new TreeMap<>(mWrongs);
    }

    /** Asks for a token whose home is the VM: under another's the requests would be forwarded. */
    private String token() {
        String path = "/ask?customer=" + mCustomer + "&service=" + mService;
        AggregatedHttpResponse answer = mVmClient.get(path).aggregate().join();
        for (JsonNode address : parsed(answer.contentUtf8()).path("addresses")) {
            if (address.path("address").asText().equals(mVm)) {
                return address.path("token").asText();
            }
        }
        throw new OperationException(
                "ask", mVm, "The VM doesn't serve " + mService + " itself. Give one that does.");
    }

    private JsonNode parsed(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException failure) {
            throw new OperationException("ask", mVm, "The answer isn't JSON: " + text, failure);
        }
    }
}
