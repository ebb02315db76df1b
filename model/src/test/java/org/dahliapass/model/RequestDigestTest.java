package org.dahliapass.model;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertThrows;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.Test;

/** Tests of {@link RequestDigest}. */
public final class RequestDigestTest {
    private static final RequestDigest DIGEST = digest("GET", "a", "/b", "", "c");

    @Test
    public void identicalRequestsHaveTheSameDigest() {
        assertEquals(digest("GET", "a", "/b", "", "c"), DIGEST);
        assertEquals(RequestDigest.parse(DIGEST.hex()), DIGEST);
    }

    /** Guards against requests that are attributed to another caller. */
    @Test
    public void eachFieldChangesTheDigest() {
        assertNotEquals(digest("POST", "a", "/b", "", "c"), DIGEST);
        assertNotEquals(digest("GET", "a/", "b", "", "c"), DIGEST);
        assertNotEquals(digest("GET", "a", "/b", "key", "c"), DIGEST);
        assertNotEquals(digest("GET", "a", "/b", "", "d"), DIGEST);
    }

    @Test
    public void parseRejectsInvalidText() {
        assertThrows(IllegalArgumentException.class, () -> RequestDigest.parse("12"));
        assertThrows(IllegalArgumentException.class, () -> RequestDigest.parse("x"));
    }

    private static RequestDigest digest(
            String method, String authority, String path, String credentials, String body) {
        ByteBuffer bytes = ByteBuffer.wrap(body.getBytes(StandardCharsets.UTF_8));
        return RequestDigest.of(method, authority, path, credentials, bytes);
    }
}
