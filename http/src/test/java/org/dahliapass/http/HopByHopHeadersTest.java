package org.dahliapass.http;

import static org.testng.Assert.assertEquals;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.AsciiString;
import java.util.List;
import org.testng.annotations.Test;

/** Tests of {@link HopByHopHeaders} and {@link RequestTarget}. */
public final class HopByHopHeadersTest {
    @Test
    public void hopByHopAndNominatedHeadersAreRemoved() {
        HttpHeaders headers =
                new DefaultHttpHeaders()
                        .add("Connection", "close, X-Mine")
                        .add("connection", "x-other")
                        .add("X-Mine", "1")
                        .add("X-Other", "2")
                        .add("Keep-Alive", "timeout=5")
                        .add("Transfer-Encoding", "chunked")
                        .add("X-Stays", "3");
        HopByHopHeaders.strip(headers, List.of());
        assertEquals(headers.entries().toString(), "[X-Stays=3]");
    }

    /** A caller must not be able to remove the host or length of the forwarded request. */
    @Test
    public void hostAndContentLengthAreNeverRemoved() {
        HttpHeaders headers =
                new DefaultHttpHeaders()
                        .add("Connection", "Host, Content-Length")
                        .add("Host", "a")
                        .add("Content-Length", "2");
        HopByHopHeaders.strip(headers, List.of());
        assertEquals(headers.entries().toString(), "[Host=a, Content-Length=2]");
    }

    /** A caller must not be able to remove the request id that at-most-once execution needs. */
    @Test
    public void keptHeadersAreNotRemovedWhenNominated() {
        HttpHeaders headers =
                new DefaultHttpHeaders()
                        .add("Connection", "X-Id, X-Other")
                        .add("X-Id", "7")
                        .add("X-Other", "8");
        HopByHopHeaders.strip(headers, List.of(AsciiString.of("x-id")));
        assertEquals(headers.entries().toString(), "[X-Id=7]");
    }

    @Test
    public void targetIsParsedInOriginAndAbsoluteForm() {
        assertEquals(target("/a/b?c=/d"), new RequestTarget("h", "/a/b?c=/d"));
        assertEquals(target("http://other:80/a?b"), new RequestTarget("other:80", "/a?b"));
        assertEquals(target("http://other"), new RequestTarget("other", "/"));
        assertEquals(target("/a/b?c=/d").pathWithoutQuery(), "/a/b");
        assertEquals(target("/to?http://x/").pathWithoutQuery(), "/to");
    }

    private static RequestTarget target(String uri) {
        HttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
        request.headers().set("Host", "h");
        return RequestTarget.of(request);
    }
}
