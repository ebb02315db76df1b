package org.dahliapass.decisions.once;

import java.util.Optional;
import java.util.regex.Pattern;
import org.dahliapass.model.VmIdentity;

/**
 * Names one operation of a customer, as the {@code Idempotency-Key} header carries it.
 *
 * @param token the part that an ask handed out
 * @param suffix the caller's own part; 1 to 64 letters, digits, hyphens and underscores
 */
public record OperationKey(OperationToken token, String suffix) {

    /** Longest text of a key, in characters. */
    public static final int MAX_LENGTH = OperationToken.MAX_LENGTH + 1 + 64;

    private static final Pattern UNIQUE = Pattern.compile("[A-Za-z0-9_-]{1,64}");

    /**
     * Rejects a unique part with other characters or another length.
     *
     * @throws IllegalArgumentException if {@code unique} is malformed
     */
    public OperationKey {
        if (!UNIQUE.matcher(suffix).matches()) {
            throw new IllegalArgumentException(
                    "The unique part must be 1 to 64 letters, digits, hyphens or underscores.");
        }
    }

    /** Reads a key; empty unless the text is exactly what {@link #toString} writes. */
    public static Optional<OperationKey> parse(String text) {
        int lastDot = text.lastIndexOf('.');
        if (text.length() > MAX_LENGTH || lastDot < 0) {
            return Optional.empty();
        }
        String unique = text.substring(lastDot + 1);
        if (!UNIQUE.matcher(unique).matches()) {
            return Optional.empty();
        }
        return OperationToken.parse(text.substring(0, lastDot))
                .map(token -> new OperationKey(token, unique));
    }

    /** Returns the only VM incarnation that may dispatch this key. */
    public VmIdentity home() {
        return token.home();
    }

    /** Returns the VM incarnation that must know of this key before it is dispatched. */
    public VmIdentity witness() {
        return token.witness();
    }

    /** Returns when the key's token was handed out, in milliseconds since the epoch. */
    public long issuedMillis() {
        return token.issuedMillis();
    }

    /** Writes {@code home.witness.born.unique}. */
    @Override
    public String toString() {
        return token + "." + suffix;
    }
}
