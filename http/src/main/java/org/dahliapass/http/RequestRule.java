package org.dahliapass.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.AsciiString;
import java.util.List;
import java.util.Optional;

/**
 * Rules that a request head must satisfy so that every HTTP implementation finds the same request
 * end.
 *
 * <p>Prevents request smuggling: with an ambiguous head, part of one request can be processed as
 * another request.
 */
enum RequestRule {
    /** RFC 9112, 2.3 and 3: only HTTP/1.0 and HTTP/1.1 are supported. */
    VERSION {
        @Override
        Optional<HttpResponseStatus> rejection(HttpRequest head) {
            HttpVersion version = head.protocolVersion();
            boolean supported =
                    version.equals(HttpVersion.HTTP_1_1) || version.equals(HttpVersion.HTTP_1_0);
            return rejectUnless(supported, HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED);
        }
    },
    /**
     * RFC 9112, 6.1 and 6.3: chunked, exactly once, is the only supported coding. It is not valid
     * in an HTTP/1.0 request, where an intermediary may have added it.
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
            boolean isHttp11 = head.protocolVersion().equals(HttpVersion.HTTP_1_1);
            return rejectUnless(isHttp11, HttpResponseStatus.BAD_REQUEST);
        }
    },
    /** RFC 9112, 3.2, and RFC 9110, 7.2: one host without spaces; optional in HTTP/1.0. */
    HOST {
        @Override
        Optional<HttpResponseStatus> rejection(HttpRequest head) {
            List<String> hosts = head.headers().getAll(HttpHeaderNames.HOST);
            boolean optional = !head.protocolVersion().equals(HttpVersion.HTTP_1_1);
            boolean valid =
                    hosts.isEmpty() ? optional : hosts.size() == 1 && isVisibleAscii(hosts.get(0));
            return rejectUnless(valid, HttpResponseStatus.BAD_REQUEST);
        }
    },
    /** RFC 9112, 3.2: only visible ASCII characters, which are forwarded unchanged. */
    TARGET {
        @Override
        Optional<HttpResponseStatus> rejection(HttpRequest head) {
            return rejectUnless(isVisibleAscii(head.uri()), HttpResponseStatus.BAD_REQUEST);
        }
    };

    private static final char DELETE = 0x7f;

    /**
     * Returns the status that rejects a request; empty if it satisfies this rule.
     *
     * @param head the decoded request line and headers
     */
    abstract Optional<HttpResponseStatus> rejection(HttpRequest head);

    /** Returns the status of the first rule that a request violates; empty if there is none. */
    static Optional<HttpResponseStatus> firstRejection(HttpRequest head) {
        for (RequestRule rule : values()) {
            Optional<HttpResponseStatus> rejection = rule.rejection(head);
            if (rejection.isPresent()) {
                return rejection;
            }
        }
        return Optional.empty();
    }

    /** Returns the status that rejects a request that can't be decoded. */
    static HttpResponseStatus rejectionOfMalformed(Throwable cause) {
        if (cause instanceof TooLongHttpLineException) {
            return HttpResponseStatus.REQUEST_URI_TOO_LONG;
        }
        return cause instanceof TooLongHttpHeaderException
                ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                : HttpResponseStatus.BAD_REQUEST;
    }

    /** Returns whether the only transfer coding of a message is chunked, exactly once. */
    static boolean isOnlyChunked(List<String> codings) {
        return codings.size() == 1
                && AsciiString.contentEqualsIgnoreCase(
                        HttpHeaderValues.CHUNKED, codings.get(0).trim());
    }

    private static boolean isVisibleAscii(String text) {
        return !text.isEmpty()
                && text.chars().allMatch(character -> character > ' ' && character < DELETE);
    }

    private static Optional<HttpResponseStatus> rejectUnless(
            boolean valid, HttpResponseStatus status) {
        return valid ? Optional.empty() : Optional.of(status);
    }
}
