package org.dahliapass.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/** A seeded fuzz test with mutated requests in random segments. */
public final class ServerFuzzTest {
    private static final int CASES = 3_000;
    private static final int MAX_BODY_BYTES = 64;
    private static final long SEED = 20_250_117;

    private static final List<String> VALID_REQUESTS =
            List.of(
                    "GET /a?b=c HTTP/1.1\r\nHost: a\r\n\r\n",
                    "POST /lock HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello",
                    chunked("3\r\nabc\r\n10\r\n0123456789abcdef\r\n0\r\n\r\n"),
                    "PUT /x HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
                            + "Content-Length: 2\r\n\r\nok");

    private static final List<String> FRAGMENTS =
            List.of(
                    "\r\n",
                    "\n",
                    "\r",
                    " ",
                    "\t",
                    "\u0000",
                    ":",
                    "0",
                    "Content-Length: 3\r\n",
                    "Transfer-Encoding: chunked\r\n",
                    "Transfer-Encoding: identity\r\n",
                    "GET /inner HTTP/1.1\r\nHost: a\r\n\r\n",
                    "HTTP/1.0",
                    "ffffffffffffffff");

    /**
     * A parser that depends on segmentation allows request smuggling. Also checks that no body over
     * the limit reaches the handler.
     */
    @Test
    public void requestsDoNotDependOnSegmentation() {
        SplittableRandom seeds = new SplittableRandom(SEED);
        for (int number = 0; number < CASES; number++) {
            long seed = seeds.nextLong();
            String bytes = mutatedRequests(new SplittableRandom(seed));
            List<String> whole = requests(List.of(bytes));
            List<String> segmented = requests(segments(bytes, new SplittableRandom(seed)));
            assertEquals(segmented, whole, "seed " + seed + ": " + bytes);
        }
    }

    /**
     * Another parser must not find other requests in the same bytes, or one processes as a request
     * what the other one reads as a body.
     */
    @Test
    public void requestsMatchTheStrictParser() {
        SplittableRandom seeds = new SplittableRandom(SEED);
        for (int number = 0; number < CASES; number++) {
            long seed = seeds.nextLong();
            String bytes = mutatedRequests(new SplittableRandom(seed));
            List<String> expected = StrictRequestParser.parse(bytes, MAX_BODY_BYTES);
            assertEquals(requests(List.of(bytes)), expected, "seed " + seed + ": " + bytes);
        }
    }

    private static String chunked(String body) {
        return "POST /chunks HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + body;
    }

    private static List<String> requests(List<String> segments) {
        List<String> requests = new ArrayList<>();
        ServerFixture server =
                new ServerFixture(
                        call ->
                                call.readBody(
                                        MAX_BODY_BYTES,
                                        body -> {
                                            assertTrue(body.readableBytes() <= MAX_BODY_BYTES);
                                            requests.add(
                                                    call.head().method()
                                                            + " "
                                                            + call.head().uri()
                                                            + " "
                                                            + body.toString(
                                                                    StandardCharsets.ISO_8859_1));
                                            call.respond(ServerFixture.response("x"));
                                        },
                                        () -> {
                                            requests.add("too large");
                                            call.closeAfterResponse();
                                            call.respond(ServerFixture.response("x"));
                                        }));
        for (String segment : segments) {
            server.sendBytes(segment);
        }
        server.received();
        server.mChannel.finishAndReleaseAll();
        return requests;
    }

    private static String mutatedRequests(SplittableRandom random) {
        StringBuilder bytes = new StringBuilder();
        for (int number = random.nextInt(1, 4); number > 0; number--) {
            bytes.append(VALID_REQUESTS.get(random.nextInt(VALID_REQUESTS.size())));
        }
        for (int number = random.nextInt(4); number > 0; number--) {
            int index = random.nextInt(bytes.length());
            switch (random.nextInt(4)) {
                case 0 -> bytes.insert(index, FRAGMENTS.get(random.nextInt(FRAGMENTS.size())));
                case 1 -> bytes.setCharAt(index, (char) random.nextInt(256));
                case 2 -> bytes.delete(index, Math.min(bytes.length(), index + 3));
                default -> bytes.insert(index, bytes.substring(0, random.nextInt(index + 1)));
            }
        }
        return bytes.toString();
    }

    private static List<String> segments(String bytes, SplittableRandom random) {
        List<String> segments = new ArrayList<>();
        int from = 0;
        while (from < bytes.length()) {
            int to = Math.min(bytes.length(), from + random.nextInt(1, 12));
            segments.add(bytes.substring(from, to));
            from = to;
        }
        return segments;
    }
}
