package org.dahliapass.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.AsciiString;
import java.util.List;
import java.util.Optional;

/**
 * What a request's head must keep to, so that every reader takes it and its end for the same.
 *
 * <p>Guards against request smuggling: a head that can be read in two ways lets a part of one
 * request run as another one, which nobody asked for.
 */
enum RequestRule {
    /** RFC 9112, 2.3 and 3: this server speaks 1.0 and 1.1 and frames no other version. */
    VERSION {
        @Override
        Optional<HttpResponseStatus> rejection(HttpRequest head) {
            HttpVersion version = head.protocolVersion();
            boolean known =
                    version.equals(HttpVersion.HTTP_1_1) || version.equals(HttpVersion.HTTP_1_0);
            return refuseUnless(known, HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED);
        }
    },
    /**
     * RFC 9112, 6.1 and 6.3: chunked ends a body, so it has to be the last coding and come once;
     * other codings are unknown here. An old client's coding is one that something added on the
     * way.
     */
    TRANSFER_CODING {
        @Override
        Optional<HttpResponseStatus> rejection(HttpRequest head) {
            List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
            if (codings.isEmpty()) {
                return Optional.empty();
            }
            if (!isOnlyChunked(codings)) {
                return Optional.of(HttpResponseStatus.NOT_IMPLEMENTED);
            }
            boolean current = head.protocolVersion().equals(HttpVersion.HTTP_1_1);
            return refuseUnless(current, HttpResponseStatus.BAD_REQUEST);
        }
    },
    /** RFC 9112, 3.2, and RFC 9110, 7.2: one host, without blanks; old clients may leave it out. */
    HOST {
        @Override
        Optional<HttpResponseStatus> rejection(HttpRequest head) {
            List<String> hosts = head.headers().getAll(HttpHeaderNames.HOST);
            boolean mayLack = !head.protocolVersion().equals(HttpVersion.HTTP_1_1);
            boolean proper =
                    hosts.isEmpty() ? mayLack : hosts.size() == 1 && isVisible(hosts.get(0));
            return refuseUnless(proper, HttpResponseStatus.BAD_REQUEST);
        }
    },
    /** RFC 9112, 3.2: a path of visible letters, which stay the same when it is written again. */
    TARGET {
        @Override
        Optional<HttpResponseStatus> rejection(HttpRequest head) {
            return refuseUnless(isVisible(head.uri()), HttpResponseStatus.BAD_REQUEST);
        }
    };

    /** The first character behind the visible ones. */
    private static final char DELETE = 0x7f;

    /**
     * Returns the status that refuses a request; empty if it keeps to this rule.
     *
     * @param head the request's line and headers, as decoded
     */
    abstract Optional<HttpResponseStatus> rejection(HttpRequest head);

    /** Returns the status that refuses a request by the first rule that it breaks; else empty. */
    static Optional<HttpResponseStatus> firstRejection(HttpRequest head) {
        for (RequestRule rule : values()) {
            Optional<HttpResponseStatus> refusal = rule.rejection(head);
            if (refusal.isPresent()) {
                return refusal;
            }
        }
        return Optional.empty();
    }

    /** Returns whether the transfer codings of a message are chunked, once, and nothing else. */
    static boolean isOnlyChunked(List<String> codings) {
        return codings.size() == 1
                && AsciiString.contentEqualsIgnoreCase(
                        HttpHeaderValues.CHUNKED, codings.get(0).trim());
    }

    private static boolean isVisible(String text) {
        return !text.isEmpty() && text.chars().allMatch(letter -> letter > ' ' && letter < DELETE);
    }

    private static Optional<HttpResponseStatus> refuseUnless(
            boolean proper, HttpResponseStatus status) {
        return proper ? Optional.empty() : Optional.of(status);
    }
}
