package org.dahliapass.entry;

import java.util.Optional;
import org.dahliapass.model.Idempotency;
import org.dahliapass.model.RequestKind;
import org.dahliapass.model.ServiceTemplate;

/**
 * The route of a customer's requests to a service.
 *
 * @param customer the customer that sends requests
 * @param own the service in the customer's template, with its request kinds and limits
 * @param provided the service in its provider's template, with its targets, floor share and failure
 *     detection
 */
public record Route(String customer, ServiceTemplate own, ServiceTemplate provided) {

    /**
     * Returns the customer's request kind for a method and path.
     *
     * <p>The kind is at-most-once if the provider declares it so, even if the customer's template
     * declares it idempotent; otherwise a retry could run the operation twice.
     */
    public Optional<RequestKind> kindOf(String method, String path) {
        boolean atMostOnce =
                provided.kindOf(method, path)
                        .filter(kind -> kind.idempotency() == Idempotency.AT_MOST_ONCE)
                        .isPresent();
        return own.kindOf(method, path).map(kind -> atMostOnce ? kind.asAtMostOnce() : kind);
    }
}
