package org.dahliapass.entry;

import java.util.Optional;

/**
 * The parts of a request path {@code /services/CUSTOMER/SERVICE/REST?QUERY}.
 *
 * @param customer the customer's name
 * @param service the service's name
 * @param path the path that kinds are matched with, beginning with a slash
 * @param pathAndQuery the path and query that the target sees
 */
record ServicePath(String customer, String service, String path, String pathAndQuery) {
    /** The beginning of all request paths. */
    static final String PREFIX = "/services/";

    /** Reads a path with its query; empty if it isn't one of a service. */
    static Optional<ServicePath> parse(String pathAndQuery) {
        if (!pathAndQuery.startsWith(PREFIX)) {
            return Optional.empty();
        }
        int afterCustomer = pathAndQuery.indexOf('/', PREFIX.length());
        if (afterCustomer <= PREFIX.length()) {
            return Optional.empty();
        }
        int afterService = pathAndQuery.indexOf('/', afterCustomer + 1);
        if (afterService <= afterCustomer + 1) {
            return Optional.empty();
        }
        String rest = pathAndQuery.substring(afterService);
        int query = rest.indexOf('?');
        return Optional.of(
                new ServicePath(
                        pathAndQuery.substring(PREFIX.length(), afterCustomer),
                        pathAndQuery.substring(afterCustomer + 1, afterService),
                        query < 0 ? rest : rest.substring(0, query),
                        rest));
    }
}
