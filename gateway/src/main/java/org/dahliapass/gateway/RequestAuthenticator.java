package org.dahliapass.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.dahliapass.decisions.access.Authentication;
import org.dahliapass.decisions.access.Authenticator;
import org.dahliapass.decisions.access.Credentials;
import org.dahliapass.decisions.access.RejectionReason;
import org.dahliapass.decisions.routing.RouteTable;
import org.dahliapass.model.routing.RouteRule;

/** Authenticates requests by the configuration in force; any thread may use it. */
final class RequestAuthenticator {
    private final StoreFollower mFollower;
    private final Optional<Duration> mRevocationLimit;
    private final LongSupplier mConfigurationAge;

    /**
     * Creates an authenticator.
     *
     * @param follower provides the configuration in force
     * @param revocationLimit the age of the configuration after which no key is accepted; empty if
     *     keys are accepted at any age
     * @param configurationAge returns the time since the configuration was last confirmed, in
     *     milliseconds
     */
    RequestAuthenticator(
            StoreFollower follower,
            Optional<Duration> revocationLimit,
            LongSupplier configurationAge) {
        mFollower = follower;
        mRevocationLimit = revocationLimit;
        mConfigurationAge = configurationAge;
    }

    /** Authenticates a request that matches a route. */
    Authentication authenticate(RouteTable routes, RouteRule route, Credentials credentials) {
        return confirm(
                Authenticator.authenticate(routes.configuration().keys(), route, credentials));
    }

    /**
     * Authenticates a request again before it is sent to a target.
     *
     * <p>Guards against the use of a key that was removed while the request waited.
     */
    Authentication reauthenticate(ProxyRequest request) {
        Optional<RouteTable> routes = mFollower.view().routes();
        if (routes.isEmpty() || routes.get().configuration().version() == request.version()) {
            return confirm(new Authentication.Accepted(request.identity()));
        }
        RouteRule route =
                routes.get()
                        .find(request.authority(), request.pathWithoutQuery())
                        .orElse(request.route());
        return authenticate(routes.get(), route, request.credentials());
    }

    private Authentication confirm(Authentication authentication) {
        boolean usesKey =
                authentication instanceof Authentication.Accepted accepted
                        && accepted.identity().customer().isPresent();
        boolean isConfirmed =
                mRevocationLimit
                        .map(limit -> mConfigurationAge.getAsLong() <= limit.toMillis())
                        .orElse(true);
        return !usesKey || isConfirmed
                ? authentication
                : new Authentication.Rejected(RejectionReason.UNCONFIRMED_KEY);
    }
}
