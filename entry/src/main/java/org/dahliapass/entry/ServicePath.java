package org.dahliapass.entry;

import java.util.Optional;
import java.util.regex.Pattern;

/**
 * The components of a request path {@code /services/CUSTOMER/SERVICE/REST?QUERY}.
 *
 * @param customer the customer's name
 * @param service the service's name
 * @param path the path to match with request kinds, beginning with a slash
 * @param pathAndQuery the path and query sent to the target
 */
record ServicePath(String customer, String service, String path, String pathAndQuery) {
    /** The prefix of all request paths. */
    static final String PREFIX = "/services/";

    /** A path that a target may normalize to a path of another request kind. */
    private static final Pattern AMBIGUOUS =
            Pattern.compile(
                    "//|/\\.{1,2}(/|$)|\\\\"
                            + "|%(2[dDeEfF]|3[0-9]|[46][1-9a-fA-F]|[57][0-9aA]|5[fF]|7[eE])");

    /**
     * Returns whether no target normalizes the path to another one.
     *
     * <p>Otherwise {@code /sign%2Doffs} or {@code /x/../sign-offs}, which a target reads as {@code
     * /sign-offs}, could run an at-most-once operation as an idempotent kind.
     */
    private static boolean isUnambiguous(String path) {
        return !AMBIGUOUS.matcher(path).find();
    }

    /** Parses a path with its query; empty if it is ambiguous or not a service path. */
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
