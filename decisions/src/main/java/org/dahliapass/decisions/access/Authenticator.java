package org.dahliapass.decisions.access;

import java.util.Optional;
import org.dahliapass.model.routing.Customer;
import org.dahliapass.model.routing.CustomerKeys;
import org.dahliapass.model.routing.RouteRule;

/** Authenticates requests by the keys of one version of the configuration. */
public final class Authenticator {
    private Authenticator() {}

    /**
     * Authenticates a request.
     *
     * @param keys the keys of the configuration in force
     * @param route the route of the request
     * @param credentials the credentials of the request
     */
    public static Authentication authenticate(
            CustomerKeys keys, RouteRule route, Credentials credentials) {
        if (!keys.areRequired()) {
            return new Authentication.Accepted(CallerIdentity.withoutCustomers());
        }
        Optional<Customer> customer = credentials.key().flatMap(keys::find);
        if (customer.isPresent()) {
            return new Authentication.Accepted(CallerIdentity.of(customer.get()));
        }
        if (!route.keyRequired()) {
            return new Authentication.Accepted(CallerIdentity.exempt());
        }
        return new Authentication.Rejected(
                credentials.defect().orElse(RejectionReason.UNKNOWN_KEY));
    }
}
