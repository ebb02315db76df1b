package org.dahliapass.decisions.once;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.dahliapass.model.VmIdentity;

/**
 * Binds keys to the only process that may run them and to the one witness that must know first.
 *
 * <p>The answer to an ask hands it out; callers append their own unique part to make a key.
 *
 * @param home the only VM incarnation that ever dispatches a key with this token
 * @param witness the VM incarnation that acknowledges the intent before the home dispatches
 * @param issuedMillis when the token was handed out, milliseconds since the epoch by the asked VM
 */
public record OperationToken(VmIdentity home, VmIdentity witness, long issuedMillis) {

    /** Longest text of a token, in characters. */
    static final int MAX_LENGTH = 2 * (63 + 1 + 13) + 2 + 13;

    private static final String IDENTITY = "([A-Za-z0-9-]{1,63}~[0-9a-z]{1,13})";
    private static final Pattern TEXT =
            Pattern.compile(IDENTITY + "\\." + IDENTITY + "\\.([0-9a-z]{1,13})");

    /**
     * Rejects a token whose home is its own witness.
     *
     * @throws IllegalArgumentException if home and witness are lives of the same VM
     */
    public OperationToken {
        // A VM that is its own witness takes the intent along when it dies, and nobody could tell
        // a key that ran from one that did not.
        if (home.name().equals(witness.name())) {
            throw new IllegalArgumentException(
                    "Home and witness are both " + home.name() + "; name two different VMs.");
        }
    }

    /** Reads a token; empty unless the text is exactly what {@link #toString} writes. */
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
        Optional<Long> born = parseBorn(matcher.group(3));
        if (home.isEmpty() || witness.isEmpty() || born.isEmpty()) {
            return Optional.empty();
        }
        if (home.get().name().equals(witness.get().name())) {
            return Optional.empty();
        }
        // Two spellings of one number would make one key look like two; only the canonical counts.
        return Optional.of(new OperationToken(home.get(), witness.get(), born.get()))
                .filter(token -> token.toString().equals(text));
    }

    private static Optional<Long> parseBorn(String text) {
        try {
            return Optional.of(Long.parseLong(text, Character.MAX_RADIX));
        } catch (NumberFormatException expected) {
            return Optional.empty();
        }
    }

    /** Writes {@code home.witness.born}, the time in base 36. */
    @Override
    public String toString() {
        return home + "." + witness + "." + Long.toString(issuedMillis, Character.MAX_RADIX);
    }
}
