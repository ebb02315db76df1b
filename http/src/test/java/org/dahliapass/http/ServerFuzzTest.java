package org.dahliapass.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/** A seeded fuzz of what clients send: spoiled requests, cut into pieces in any place. */
public final class ServerFuzzTest {
    private static final int CASES = 3_000;
    private static final int MOST_BODY = 64;
    private static final long SEED = 20_250_117;

    private static final List<String> GOOD =
            List.of(
                    "GET /a?b=c HTTP/1.1\r\nHost: a\r\n\r\n",
                    "POST /lock HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello",
                    chunked("3\r\nabc\r\n10\r\n0123456789abcdef\r\n0\r\n\r\n"),
                    "PUT /x HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
                            + "Content-Length: 2\r\n\r\nok");

    private static final List<String> ODD =
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
     * A request that runs must not depend on how the network cut its bytes: a reader that goes
     * wrong at a seam lets a client smuggle one request inside another. Also, nothing is read
     * behind a refusal, and no body over the limit is handed on.
     */
    @Test
    public void sameRequestsAreTakenWhereverTheBytesAreCut() {
        SplittableRandom seeds = new SplittableRandom(SEED);
        for (int number = 0; number < CASES; number++) {
            long seed = seeds.nextLong();
            String bytes = spoiled(new SplittableRandom(seed));
            List<String> whole = taken(List.of(bytes));
            List<String> cut = taken(pieces(bytes, new SplittableRandom(seed)));
            assertEquals(cut, whole, "seed " + seed + ": " + bytes);
        }
    }

    /**
     * Another reader of the same bytes must not find other requests in them: what one takes for a
     * body the other would run.
     */
    @Test
    public void requestsAreThoseThatAStrictReaderFinds() {
        SplittableRandom seeds = new SplittableRandom(SEED);
        for (int number = 0; number < CASES; number++) {
            long seed = seeds.nextLong();
            String bytes = spoiled(new SplittableRandom(seed));
            List<String> strict = StrictRequestParser.read(bytes, MOST_BODY);
            assertEquals(taken(List.of(bytes)), strict, "seed " + seed + ": " + bytes);
        }
    }

    private static String chunked(String body) {
        return "POST /chunks HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + body;
    }

    private static List<String> taken(List<String> pieces) {
        List<String> taken = new ArrayList<>();
        ServerFixture server =
                new ServerFixture(
                        call ->
                                call.readBody(
                                        MOST_BODY,
                                        body -> {
                                            assertTrue(body.readableBytes() <= MOST_BODY);
                                            taken.add(
                                                    call.head().method()
                                                            + " "
                                                            + call.head().uri()
                                                            + " "
                                                            + body.toString(
                                                                    StandardCharsets.ISO_8859_1));
                                            call.respond(ServerFixture.answer("x"));
                                        },
                                        () -> {
                                            taken.add("too large");
                                            call.closeAfterResponse();
                                            call.respond(ServerFixture.answer("x"));
                                        }));
        for (String piece : pieces) {
            server.sendRaw(piece);
        }
        server.received();
        server.mChannel.finishAndReleaseAll();
        return taken;
    }

    private static String spoiled(SplittableRandom random) {
        StringBuilder bytes = new StringBuilder();
        for (int number = random.nextInt(1, 4); number > 0; number--) {
            bytes.append(GOOD.get(random.nextInt(GOOD.size())));
        }
        for (int number = random.nextInt(4); number > 0; number--) {
            int place = random.nextInt(bytes.length());
            switch (random.nextInt(4)) {
                case 0 -> bytes.insert(place, ODD.get(random.nextInt(ODD.size())));
                case 1 -> bytes.setCharAt(place, (char) random.nextInt(256));
                case 2 -> bytes.delete(place, Math.min(bytes.length(), place + 3));
                default -> bytes.insert(place, bytes.substring(0, random.nextInt(place + 1)));
            }
        }
        return bytes.toString();
    }

    private static List<String> pieces(String bytes, SplittableRandom random) {
        List<String> pieces = new ArrayList<>();
        int from = 0;
        while (from < bytes.length()) {
            int to = Math.min(bytes.length(), from + random.nextInt(1, 12));
            pieces.add(bytes.substring(from, to));
            from = to;
        }
        return pieces;
    }
}
