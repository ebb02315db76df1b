package org.dahliapass.gateway;

import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import org.dahliapass.http.RequestHandler;
import org.dahliapass.http.ServerCall;
import org.dahliapass.http.ServerResponse;
import org.dahliapass.model.Endpoint;
import org.dahliapass.platform.DiscoveryCalls;

/** Serves discovery requests: returns the addresses of the VMs that a caller should use. */
final class DiscoveryHandler implements RequestHandler {
    private final GatewaySettings mSettings;
    private final GatewayState mState;
    private final StoreFollower mFollower;

    DiscoveryHandler(GatewaySettings settings, GatewayState state, StoreFollower follower) {
        mSettings = settings;
        mState = state;
        mFollower = follower;
    }

    @Override
    public void onRequest(ServerCall call) {
        QueryStringDecoder query = new QueryStringDecoder(call.head().uri());
        List<Endpoint> addresses =
                mFollower
                        .view()
                        .plan()
                        .addresses(
                                parameter(
                                        query,
                                        DiscoveryCalls.ZONE,
                                        mSettings.self().availabilityZone()),
                                parameter(query, DiscoveryCalls.REGION, mSettings.self().region()));
        if (addresses.isEmpty() && mState.phase().isReady()) {
            addresses = List.of(mSettings.self().callerEndpoint());
        }
        call.respond(
                addresses.isEmpty()
                        ? ServerResponse.of(HttpResponseStatus.SERVICE_UNAVAILABLE)
                        : ServerResponse.json(
                                HttpResponseStatus.OK,
                                DiscoveryCalls.encode(addresses, mSettings.addressTimeToLive())));
    }

    private static String parameter(QueryStringDecoder query, String name, String defaultValue) {
        List<String> values = query.parameters().get(name);
        return values == null ? defaultValue : values.get(0);
    }
}
