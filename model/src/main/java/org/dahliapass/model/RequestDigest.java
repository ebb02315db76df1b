package org.dahliapass.model;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Identifies requests that are alike: the same method, host, path, credentials and body.
 *
 * <p>The first half of a SHA-256, so that nobody can make a request that is taken for another
 * caller's.
 *
 * @param high the first eight bytes
 * @param low the next eight bytes
 */
public record RequestDigest(long high, long low) {
    /**
     * Digests a request.
     *
     * @param method its method
     * @param authority its host
     * @param path its path and query as the caller sent them
     * @param credentials what proves who the caller is; empty if nothing does
     * @param body its whole body; its position stays as it is
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

    /** The length goes first, so that no two ways to split the same text are alike. */
    private static void update(MessageDigest digest, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).flip());
        digest.update(bytes);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException("Each Java runtime has SHA-256.", impossible);
        }
    }

    /**
     * Reads a digest from its 32 hexadecimal digits.
     *
     * @throws IllegalArgumentException if the text is anything else
     */
    public static RequestDigest parse(String hex) {
        byte[] bytes = HexFormat.of().parseHex(hex);
        if (bytes.length != 2 * Long.BYTES) {
            throw new IllegalArgumentException("A digest has 32 hexadecimal digits: " + hex);
        }
        ByteBuffer halves = ByteBuffer.wrap(bytes);
        return new RequestDigest(halves.getLong(), halves.getLong());
    }

    /** Returns the digest as 32 hexadecimal digits. */
    public String hex() {
        HexFormat format = HexFormat.of();
        return format.toHexDigits(high) + format.toHexDigits(low);
    }
}
