package org.dahliapass.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;
import java.util.List;

/** The headers that concern one connection only and are never passed on (RFC 9110, 7.6.1). */
public final class HopByHopHeaders {
    private static final List<AsciiString> ALWAYS =
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
     * Takes them out, and those that a Connection header names.
     *
     * @param kept headers that stay whatever a Connection header names, since this VM or the other
     *     side can't do without them
     */
    public static void strip(HttpHeaders headers, List<AsciiString> kept) {
        for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : value.split(",", -1)) {
                removeNamed(headers, name.trim(), kept);
            }
        }
        ALWAYS.forEach(headers::remove);
    }

    /**
     * Guards against a peer that names a header of the message itself, its length for instance, and
     * so has it passed on as another message than it sent.
     */
    private static void removeNamed(HttpHeaders headers, String name, List<AsciiString> kept) {
        boolean ofMessage =
                HttpHeaderNames.HOST.contentEqualsIgnoreCase(name)
                        || HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(name);
        boolean isKept = kept.stream().anyMatch(one -> one.contentEqualsIgnoreCase(name));
        if (!name.isEmpty() && !ofMessage && !isKept) {
            headers.remove(name);
        }
    }
}
