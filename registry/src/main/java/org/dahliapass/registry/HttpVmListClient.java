package org.dahliapass.registry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.dahliapass.kernel.OperationException;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.Vm;
import org.dahliapass.model.VmIdentity;

/** A client of the service catalog API of Consul, version 1. */
public final class HttpVmListClient implements VmListClient {
    private static final String SERVICE = "dahliapass-vm";
    private static final String LIST_PATH = "/v1/health/service/" + SERVICE;
    private static final String REGISTER_PATH = "/v1/agent/service/register";
    private static final String DEREGISTER_PATH = "/v1/agent/service/deregister/";
    private static final String LIST_OPERATION = "read VM list";
    private static final String LEAVING_STATUS = "warning";
    private static final String PEERS = "peers";
    private static final String CALLERS = "callers";
    private static final String OPERATORS = "operators";
    private static final String ZONE = "availability-zone";
    private static final String INCARNATION = "incarnation";

    private final PlatformHttpClient mHttp;

    /**
     * Creates a client.
     *
     * @param platform the address of the platform's VM list
     * @param timeout the response timeout, in addition to the wait of a blocking read
     */
    public HttpVmListClient(Endpoint platform, Duration timeout) {
        mHttp = new PlatformHttpClient(platform, timeout);
    }

    @Override
    public CompletableFuture<VmList> watch(long index, Duration wait) {
        String query = "?index=" + index + "&wait=" + wait.toSeconds() + "s";
        return mHttp.get(LIST_OPERATION, LIST_PATH + query, wait).thenApply(this::parseList);
    }

    @Override
    public CompletableFuture<Void> register(ListedVm vm) {
        return mHttp.put("register VM", REGISTER_PATH, registration(vm).toString())
                .thenApply(response -> null);
    }

    @Override
    public CompletableFuture<Void> deregister(String name) {
        return mHttp.put("deregister VM", DEREGISTER_PATH + PlatformHttpClient.encode(name), "")
                .thenApply(response -> null);
    }

    private VmList parseList(AggregatedHttpResponse response) {
        List<ListedVm> vms = new ArrayList<>();
        for (JsonNode entry : mHttp.json(LIST_OPERATION, response)) {
            vms.add(parseVm(entry));
        }
        return new VmList(vms, mHttp.index(LIST_OPERATION, response));
    }

    private ListedVm parseVm(JsonNode entry) {
        JsonNode service = entry.path("Service");
        JsonNode meta = service.path("Meta");
        Vm vm =
                new Vm(
                        new VmIdentity(service.path("ID").asText(), parseIncarnation(meta)),
                        meta.path(ZONE).asText(),
                        parseEndpoint(meta, CALLERS),
                        parseEndpoint(meta, PEERS));
        return new ListedVm(vm, parseEndpoint(meta, OPERATORS), isLeaving(entry.path("Checks")));
    }

    private long parseIncarnation(JsonNode meta) {
        String text = meta.path(INCARNATION).asText();
        try {
            return Long.parseLong(text, Character.MAX_RADIX);
        } catch (NumberFormatException failure) {
            throw new OperationException(
                    LIST_OPERATION,
                    mHttp.peer(),
                    "Meta " + INCARNATION + " is '" + text + "'; expected a number in base 36.",
                    failure);
        }
    }

    private Endpoint parseEndpoint(JsonNode meta, String key) {
        String text = meta.path(key).asText();
        return Endpoint.parse(text)
                .orElseThrow(
                        () ->
                                new OperationException(
                                        LIST_OPERATION,
                                        mHttp.peer(),
                                        "Meta " + key + " is '" + text + "'; expected host:port."));
    }

    private static boolean isLeaving(JsonNode checks) {
        for (JsonNode check : checks) {
            if (check.path("Status").asText().equals(LEAVING_STATUS)) {
                return true;
            }
        }
        return false;
    }

    private static ObjectNode registration(ListedVm listed) {
        Vm vm = listed.vm();
        ObjectNode service = PlatformHttpClient.JSON.createObjectNode();
        service.put("ID", vm.identity().name());
        service.put("Name", SERVICE);
        service.put("Address", vm.callerEndpoint().host());
        service.put("Port", vm.callerEndpoint().port());
        ObjectNode meta = service.putObject("Meta");
        meta.put(PEERS, vm.peerEndpoint().toString());
        meta.put(CALLERS, vm.callerEndpoint().toString());
        meta.put(OPERATORS, listed.operators().toString());
        meta.put(ZONE, vm.availabilityZone());
        meta.put(INCARNATION, Long.toString(vm.identity().incarnation(), Character.MAX_RADIX));
        return service;
    }
}
