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
import java.util.Optional;
import java.util.SplittableRandom;
import org.dahliapass.decisions.assignment.AddressSelector;
import org.dahliapass.decisions.assignment.SelectedAddresses;
import org.dahliapass.decisions.membership.MemberState;
import org.dahliapass.decisions.membership.MemberUpdate;
import org.dahliapass.model.Vm;

/** Serves discovery: the VM addresses to use for a customer's service. */
final class DiscoveryHandler implements HttpService {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String UNKNOWN_SERVICE_MESSAGE =
            "No such service here. Name its provider by &provider=CUSTOMER if it isn't the asker.";
    private static final int MAX_ADDRESSES = 4;
    private static final long RETRY_AFTER_MILLIS = 1000;

    private final RequestIdGenerator mIds;
    private final FleetService mFleet;
    private final ConfigurationService mConfiguration;
    private final TokenIssuer mTokenIssuer;
    private final Readiness mReadiness;
    private final AddressSelector mSelector;

    DiscoveryHandler(
            VmSettings settings,
            RequestIdGenerator ids,
            FleetService fleet,
            ConfigurationService configuration,
            TokenIssuer tokenIssuer,
            Readiness readiness) {
        mIds = ids;
        mFleet = fleet;
        mConfiguration = configuration;
        mTokenIssuer = tokenIssuer;
        mReadiness = readiness;
        mSelector =
                new AddressSelector(
                        MAX_ADDRESSES, settings.discoveryTimeToLive(), new SplittableRandom());
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
        Optional<Refusal> refusal = mReadiness.refusal();
        if (refusal.isPresent()) {
            return refusal.get().toResponse(mIds.next());
        }
        Optional<ConfigurationService.ServiceCell> serviceCell =
                mConfiguration.findCell(customer, service, context.queryParam("provider"));
        if (serviceCell.isEmpty()) {
            return Refusal.of(RefusalCode.NO_SUCH_SERVICE, UNKNOWN_SERVICE_MESSAGE, 0)
                    .toResponse(mIds.next());
        }
        List<MemberUpdate> cell =
                mFleet.membersOf(serviceCell.get().service(), serviceCell.get().size());
        SelectedAddresses selected;
        synchronized (mSelector) {
            selected = mSelector.select(cell, Optional.ofNullable(context.queryParam("zone")));
        }
        if (selected.vms().isEmpty()) {
            return Refusal.of(RefusalCode.NOT_SERVING, "No VM serves now.", RETRY_AFTER_MILLIS)
                    .toResponse(mIds.next());
        }
        return HttpResponse.of(
                HttpStatus.OK, MediaType.JSON, toJson(customer, service, selected, cell) + "\n");
    }

    private String toJson(
            String customer, String service, SelectedAddresses selected, List<MemberUpdate> cell) {
        List<Vm> witnesses =
                cell.stream()
                        .filter(member -> member.state() == MemberState.ALIVE)
                        .map(MemberUpdate::vm)
                        .toList();
        ObjectNode root = MAPPER.createObjectNode();
        root.put("customer", customer);
        root.put("service", service);
        root.put("timeToLiveMillis", selected.timeToLive().toMillis());
        ArrayNode addresses = root.putArray("addresses");
        for (Vm vm : selected.vms()) {
            ObjectNode address = addresses.addObject();
            address.put("address", vm.callerEndpoint().toString());
            address.put("availabilityZone", vm.availabilityZone());
            address.put("token", mTokenIssuer.issue(vm, witnesses));
        }
        return root.toString();
    }
}
