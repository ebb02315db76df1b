package org.dahliapass.decisions.once;

import java.util.Optional;
import java.util.regex.Pattern;
import org.dahliapass.model.VmIdentity;

/**
 * The idempotency key of one operation of a customer, carried in the {@code Idempotency-Key}
 * header.
 *
 * @param token the part that discovery issued
 * @param suffix the caller's unique part; 1 to 64 letters, digits, hyphens and underscores
 */
public record OperationKey(OperationToken token, String suffix) {

    /** Maximum length of a key, in characters. */
    public static final int MAX_LENGTH = OperationToken.MAX_LENGTH + 1 + 64;

    private static final Pattern SUFFIX = Pattern.compile("[A-Za-z0-9_-]{1,64}");

    /**
     * Creates a key.
     *
     * @throws IllegalArgumentException if {@code suffix} has other characters or another length
     */
    public OperationKey {
        if (!SUFFIX.matcher(suffix).matches()) {
            throw new IllegalArgumentException(
                    "The key's suffix must be 1 to 64 letters, digits, hyphens or underscores.");
        }
    }

    /** Parses a key; returns empty unless the text is exactly what {@link #toString} writes. */
    public static Optional<OperationKey> parse(String text) {
        int lastDot = text.lastIndexOf('.');
        if (text.length() > MAX_LENGTH || lastDot < 0) {
            return Optional.empty();
        }
        String suffix = text.substring(lastDot + 1);
        if (!SUFFIX.matcher(suffix).matches()) {
            return Optional.empty();
        }
        return OperationToken.parse(text.substring(0, lastDot))
                .map(token -> new OperationKey(token, suffix));
    }

    /** Returns the only VM incarnation that may dispatch this key. */
    public VmIdentity home() {
        return token.home();
    }

    /** Returns the VM incarnation that must record the intent before this key is dispatched. */
    public VmIdentity witness() {
        return token.witness();
    }

    /** Returns when the key's token was issued, in milliseconds since the epoch. */
    public long issuedMillis() {
        return token.issuedMillis();
    }

    /** Returns {@code home.witness.issued.suffix}. */
    @Override
    public String toString() {
        return token + "." + suffix;
    }
}
