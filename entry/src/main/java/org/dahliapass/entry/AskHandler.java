package org.dahliapass.entry;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.util.List;
import org.dahliapass.model.Vm;

/** Answers callers who ask which addresses to use for a customer's service. */
final class AskHandler implements HttpService {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int MOST_ADDRESSES = 4;
    private static final long RETRY_AFTER_MILLIS = 1000;

    private final VmSettings mSettings;
    private final RequestIds mIds;
    private final FleetService mFleet;
    private final Tokens mTokens;

    AskHandler(VmSettings settings, RequestIds ids, FleetService fleet, Tokens tokens) {
        mSettings = settings;
        mIds = ids;
        mFleet = fleet;
        mTokens = tokens;
    }

    @Override
    public HttpResponse serve(ServiceRequestContext context, HttpRequest request) {
        String customer = context.queryParam("customer");
        String service = context.queryParam("service");
        if (customer == null || service == null) {
            return HttpResponse.of(
                    HttpStatus.BAD_REQUEST,
                    MediaType.PLAIN_TEXT_UTF_8,
                    "Use /ask?customer=CUSTOMER&service=SERVICE.\n");
        }
        List<Vm> cell = mFleet.cellOf(customer, service);
        if (cell.isEmpty()) {
            return Refusal.of(
                            RefusalCode.NOT_SERVING,
                            "No VM serves this service now.",
                            RETRY_AFTER_MILLIS)
                    .toResponse(mIds.next());
        }
        return HttpResponse.of(
                HttpStatus.OK, MediaType.JSON, answer(customer, service, cell) + "\n");
    }

    private String answer(String customer, String service, List<Vm> cell) {
        ObjectNode root = MAPPER.createObjectNode();
        root.put("customer", customer);
        root.put("service", service);
        root.put("timeToLiveMillis", mSettings.askTimeToLive().toMillis());
        ArrayNode addresses = root.putArray("addresses");
        for (Vm vm : cell.subList(0, Math.min(MOST_ADDRESSES, cell.size()))) {
            ObjectNode address = addresses.addObject();
            address.put("address", vm.callers().toString());
            address.put("availabilityZone", vm.availabilityZone());
            address.put("token", mTokens.of(vm, cell));
        }
        return root.toString();
    }
}
