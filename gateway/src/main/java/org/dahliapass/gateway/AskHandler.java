package org.dahliapass.gateway;

import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.QueryParams;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.util.List;
import org.dahliapass.model.Endpoint;
import org.dahliapass.platform.AskCalls;

/** Tells callers which addresses to use. */
final class AskHandler implements HttpService {
    private final GatewaySettings mSettings;
    private final GatewayState mState;
    private final StoreFollower mFollower;

    AskHandler(GatewaySettings settings, GatewayState state, StoreFollower follower) {
        mSettings = settings;
        mState = state;
        mFollower = follower;
    }

    @Override
    public HttpResponse serve(ServiceRequestContext context, HttpRequest request) {
        QueryParams query = context.queryParams();
        List<Endpoint> addresses =
                mFollower
                        .view()
                        .plan()
                        .addresses(
                                query.get(AskCalls.ZONE, mSettings.self().availabilityZone()),
                                query.get(AskCalls.REGION, mSettings.self().region()));
        if (addresses.isEmpty() && mState.phase().isReady()) {
            addresses = List.of(mSettings.self().callers());
        }
        if (addresses.isEmpty()) {
            return HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE);
        }
        return HttpResponse.of(
                HttpStatus.OK,
                MediaType.JSON,
                AskCalls.encode(addresses, mSettings.askTimeToLive()));
    }
}
