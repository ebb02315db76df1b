package org.dahliapass.entry;

import java.util.Optional;
import java.util.regex.Pattern;

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

    /** A path that a target may read as another one, and so as one of another request kind. */
    private static final Pattern AMBIGUOUS =
            Pattern.compile(
                    "//|/\\.{1,2}(/|$)|\\\\"
                            + "|%(2[dDeEfF]|3[0-9]|[46][1-9a-fA-F]|[57][0-9aA]|5[fF]|7[eE])");

    /**
     * Guards against a guarded operation that passes as an idempotent kind, because the target
     * reads {@code /sign%2Doffs} or {@code /x/../sign-offs} as {@code /sign-offs}. Such paths have
     * a plain spelling, so they are refused.
     */
    private static boolean isUnambiguous(String path) {
        return !AMBIGUOUS.matcher(path).find();
    }

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
        if (!isUnambiguous(query < 0 ? rest : rest.substring(0, query))) {
            return Optional.empty();
        }
        return Optional.of(
                new ServicePath(
                        pathAndQuery.substring(PREFIX.length(), afterCustomer),
                        pathAndQuery.substring(afterCustomer + 1, afterService),
                        query < 0 ? rest : rest.substring(0, query),
                        rest));
    }
}
