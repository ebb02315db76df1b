package org.dahliapass.model;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * A digest that identifies identical requests by method, host, path, credentials and body.
 *
 * <p>The digest is the first half of a SHA-256 hash, so that callers cannot forge the digest of
 * another request.
 *
 * @param high the first eight bytes, big-endian
 * @param low the next eight bytes, big-endian
 */
public record RequestDigest(long high, long low) {
    /**
     * Returns the digest of a request.
     *
     * @param method the HTTP method
     * @param authority the host, with the port if there is one
     * @param path the path and query as sent by the caller
     * @param credentials the caller's credentials; empty if there are none
     * @param body the complete body; its position is not changed
     */
    public static RequestDigest of(
            String method, String authority, String path, String credentials, ByteBuffer body) {
        MessageDigest digest = sha256();
        update(digest, method);
        update(digest, authority);
        update(digest, path);
        update(digest, credentials);
        digest.update(body.duplicate());
        ByteBuffer bytes = ByteBuffer.wrap(digest.digest());
        return new RequestDigest(bytes.getLong(), bytes.getLong());
    }

    /** Adds a length-prefixed text, so that different field boundaries give different digests. */
    private static void update(MessageDigest digest, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).flip());
        digest.update(bytes);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException(
                    "SHA-256 is not available in this Java runtime", impossible);
        }
    }

    /**
     * Parses a digest from 32 hexadecimal digits.
     *
     * @throws IllegalArgumentException if the text has another format
     */
    public static RequestDigest parse(String hex) {
        byte[] bytes = HexFormat.of().parseHex(hex);
        if (bytes.length != 2 * Long.BYTES) {
            throw new IllegalArgumentException(
                    "expected a digest of 32 hexadecimal digits, got: " + hex);
        }
        ByteBuffer halves = ByteBuffer.wrap(bytes);
        return new RequestDigest(halves.getLong(), halves.getLong());
    }

    /** Returns the digest as 32 lower-case hexadecimal digits. */
    public String hex() {
        HexFormat format = HexFormat.of();
        return format.toHexDigits(high) + format.toHexDigits(low);
    }
}
