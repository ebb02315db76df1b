package org.dahliapass.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;

/**
 * The authority and path that a request addresses.
 *
 * @param authority the host, with the port if there is one; empty if missing
 * @param path the path and query, as received
 */
public record RequestTarget(String authority, String path) {
    private static final String SCHEME_END = "://";

    /** Returns the target of a request; the absolute form overrides Host (RFC 9112, 3.2.2). */
    public static RequestTarget of(HttpRequest request) {
        String uri = request.uri();
        int schemeEnd = uri.startsWith("/") ? -1 : uri.indexOf(SCHEME_END);
        if (schemeEnd < 0) {
            return new RequestTarget(request.headers().get(HttpHeaderNames.HOST, ""), uri);
        }
        int authorityStart = schemeEnd + SCHEME_END.length();
        int path = uri.indexOf('/', authorityStart);
        return path < 0
                ? new RequestTarget(uri.substring(authorityStart), "/")
                : new RequestTarget(uri.substring(authorityStart, path), uri.substring(path));
    }

    /** Returns the path without the query. */
    public String pathWithoutQuery() {
        int query = path.indexOf('?');
        return query < 0 ? path : path.substring(0, query);
    }
}
