package org.dahliapass.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;
import java.util.List;

/** The headers that apply to one connection and are not forwarded (RFC 9110, 7.6.1). */
public final class HopByHopHeaders {
    private static final List<AsciiString> ALWAYS_REMOVED =
            List.of(
                    HttpHeaderNames.CONNECTION,
                    AsciiString.cached("keep-alive"),
                    AsciiString.cached("proxy-connection"),
                    HttpHeaderNames.PROXY_AUTHORIZATION,
                    HttpHeaderNames.TE,
                    HttpHeaderNames.TRANSFER_ENCODING,
                    HttpHeaderNames.UPGRADE,
                    HttpHeaderNames.EXPECT);

    private HopByHopHeaders() {}

    /**
     * Removes the hop-by-hop headers, including those nominated by a Connection header.
     *
     * @param kept headers that are never removed, even if a Connection header nominates them
     */
    public static void strip(HttpHeaders headers, List<AsciiString> kept) {
        for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : value.split(",", -1)) {
                removeNominated(headers, name.trim(), kept);
            }
        }
        ALWAYS_REMOVED.forEach(headers::remove);
    }

    /**
     * Removes a header that a Connection header nominates.
     *
     * <p>Host and Content-Length stay: without them the forwarded message has another meaning than
     * the received one.
     */
    private static void removeNominated(HttpHeaders headers, String name, List<AsciiString> kept) {
        boolean describesMessage =
                HttpHeaderNames.HOST.contentEqualsIgnoreCase(name)
                        || HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(name);
        boolean isKept = kept.stream().anyMatch(header -> header.contentEqualsIgnoreCase(name));
        if (!name.isEmpty() && !describesMessage && !isKept) {
            headers.remove(name);
        }
    }
}
