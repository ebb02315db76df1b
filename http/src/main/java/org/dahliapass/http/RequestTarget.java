package org.dahliapass.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;

/**
 * Whom and what a request asks for.
 *
 * @param authority the host, with its port if one is named; empty if none is
 * @param path the path and query as they came
 */
public record RequestTarget(String authority, String path) {
    private static final String SCHEME_END = "://";

    /** Reads a request; one that names its host in the path goes by that (RFC 9112, 3.2.2). */
    public static RequestTarget of(HttpRequest request) {
        String uri = request.uri();
        int scheme = uri.startsWith("/") ? -1 : uri.indexOf(SCHEME_END);
        if (scheme < 0) {
            return new RequestTarget(request.headers().get(HttpHeaderNames.HOST, ""), uri);
        }
        int from = scheme + SCHEME_END.length();
        int path = uri.indexOf('/', from);
        return path < 0
                ? new RequestTarget(uri.substring(from), "/")
                : new RequestTarget(uri.substring(from, path), uri.substring(path));
    }

    /** Returns the path without the query. */
    public String pathWithoutQuery() {
        int query = path.indexOf('?');
        return query < 0 ? path : path.substring(0, query);
    }
}
