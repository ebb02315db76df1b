package org.dahliapass.entry;

import java.util.Optional;
import org.dahliapass.model.Idempotency;
import org.dahliapass.model.RequestKind;
import org.dahliapass.model.ServiceTemplate;

/**
 * A customer's way to a service.
 *
 * @param customer the customer that asks
 * @param own the service in the customer's own template: its request kinds and limits
 * @param provided the service in its provider's template: its targets, floor and detection
 */
public record Route(String customer, ServiceTemplate own, ServiceTemplate provided) {

    /**
     * Returns the customer's kind of a request.
     *
     * <p>Guards against a customer's template that calls idempotent what the provider guards, which
     * would let a request run twice: the provider knows its targets, so its word goes first.
     */
    public Optional<RequestKind> kindOf(String method, String path) {
        boolean guarded =
                provided.kindOf(method, path)
                        .filter(kind -> kind.idempotency() == Idempotency.AT_MOST_ONCE)
                        .isPresent();
        return own.kindOf(method, path).map(kind -> guarded ? kind.asAtMostOnce() : kind);
    }
}
