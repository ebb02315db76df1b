package org.dahliapass.gateway;

import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import org.dahliapass.http.RequestHandler;
import org.dahliapass.http.ServerCall;
import org.dahliapass.http.ServerResponse;
import org.dahliapass.model.Endpoint;
import org.dahliapass.platform.DiscoveryCalls;

/** Tells callers which addresses to use. */
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
                                named(
                                        query,
                                        DiscoveryCalls.ZONE,
                                        mSettings.self().availabilityZone()),
                                named(query, DiscoveryCalls.REGION, mSettings.self().region()));
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

    private static String named(QueryStringDecoder query, String name, String otherwise) {
        List<String> values = query.parameters().get(name);
        return values == null ? otherwise : values.get(0);
    }
}
