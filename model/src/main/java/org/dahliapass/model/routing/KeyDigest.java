package org.dahliapass.model.routing;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * A digest of a customer's key, so that no key is held in memory or printed.
 *
 * <p>The digest is the first half of a SHA-256 hash.
 *
 * @param high the first eight bytes, big-endian
 * @param low the next eight bytes, big-endian
 */
public record KeyDigest(long high, long low) implements Comparable<KeyDigest> {
    /** Returns the digest of a key. */
    public static KeyDigest of(String key) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            ByteBuffer bytes = ByteBuffer.wrap(digest.digest(key.getBytes(StandardCharsets.UTF_8)));
            return new KeyDigest(bytes.getLong(), bytes.getLong());
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException(
                    "SHA-256 is not available in this Java runtime", impossible);
        }
    }

    @Override
    public int compareTo(KeyDigest other) {
        int order = Long.compare(high, other.high);
        return order != 0 ? order : Long.compare(low, other.low);
    }
}
