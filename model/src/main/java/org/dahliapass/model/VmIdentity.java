package org.dahliapass.model;

import java.util.Optional;

/**
 * The identity of one process incarnation of a VM.
 *
 * @param name the VM's name, unique in the fleet; letters, digits and hyphens; kept over restarts
 * @param incarnation a number that increases with each start of the process; never reused
 */
public record VmIdentity(String name, long incarnation) implements Comparable<VmIdentity> {

    /**
     * Parses an identity of the form {@code name~incarnation} with the incarnation in base 36.
     *
     * <p>Returns empty if the text has another format.
     */
    public static Optional<VmIdentity> parse(String text) {
        int tilde = text.indexOf('~');
        if (tilde <= 0) {
            return Optional.empty();
        }
        try {
            long incarnation = Long.parseLong(text.substring(tilde + 1), Character.MAX_RADIX);
            return Optional.of(new VmIdentity(text.substring(0, tilde), incarnation));
        } catch (NumberFormatException expected) {
            return Optional.empty();
        }
    }

    @Override
    public int compareTo(VmIdentity other) {
        int byName = name.compareTo(other.name);
        return byName != 0 ? byName : Long.compare(incarnation, other.incarnation);
    }

    @Override
    public String toString() {
        return name + "~" + Long.toString(incarnation, Character.MAX_RADIX);
    }
}
