package org.dahliapass.decisions.once;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.dahliapass.model.VmIdentity;

/**
 * A token that binds keys to their home and witness. Discovery issues it; callers append a unique
 * suffix to make a key.
 *
 * @param home the only VM incarnation that dispatches a key with this token
 * @param witness the VM incarnation that acknowledges the intent before the home dispatches
 * @param issuedMillis when the token was issued, in milliseconds since the epoch by the issuing VM
 */
public record OperationToken(VmIdentity home, VmIdentity witness, long issuedMillis) {

    /** Maximum length of a token, in characters. */
    static final int MAX_LENGTH = 2 * (63 + 1 + 13) + 2 + 13;

    private static final String IDENTITY = "([A-Za-z0-9-]{1,63}~[0-9a-z]{1,13})";
    private static final Pattern TEXT =
            Pattern.compile(IDENTITY + "\\." + IDENTITY + "\\.([0-9a-z]{1,13})");

    /**
     * Creates a token.
     *
     * @throws IllegalArgumentException if home and witness are incarnations of the same VM
     */
    public OperationToken {
        // If the home were its own witness, the recorded intent would be lost with it.
        if (home.name().equals(witness.name())) {
            throw new IllegalArgumentException(
                    "Home and witness must be different VMs, but both are " + home.name() + ".");
        }
    }

    /** Parses a token; returns empty unless the text is exactly what {@link #toString} writes. */
    public static Optional<OperationToken> parse(String text) {
        if (text.length() > MAX_LENGTH) {
            return Optional.empty();
        }
        Matcher matcher = TEXT.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        Optional<VmIdentity> home = VmIdentity.parse(matcher.group(1));
        Optional<VmIdentity> witness = VmIdentity.parse(matcher.group(2));
        Optional<Long> issued = parseIssued(matcher.group(3));
        if (home.isEmpty() || witness.isEmpty() || issued.isEmpty()) {
            return Optional.empty();
        }
        if (home.get().name().equals(witness.get().name())) {
            return Optional.empty();
        }
        // Only the canonical form is accepted; two spellings of a key would be two operations.
        return Optional.of(new OperationToken(home.get(), witness.get(), issued.get()))
                .filter(token -> token.toString().equals(text));
    }

    private static Optional<Long> parseIssued(String text) {
        try {
            return Optional.of(Long.parseLong(text, Character.MAX_RADIX));
        } catch (NumberFormatException expected) {
            return Optional.empty();
        }
    }

    /** Returns {@code home.witness.issued}, the time in base 36. */
    @Override
    public String toString() {
        return home + "." + witness + "." + Long.toString(issuedMillis, Character.MAX_RADIX);
    }
}
