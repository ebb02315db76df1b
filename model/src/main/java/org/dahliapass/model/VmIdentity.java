package org.dahliapass.model;

import java.util.Optional;

/**
 * One life of one VM: a VM that is started again has the same name and a higher incarnation.
 *
 * @param name the VM's name, unique in the fleet; letters, digits and hyphens
 * @param incarnation grows with each start of the VM's process; never reused
 */
public record VmIdentity(String name, long incarnation) implements Comparable<VmIdentity> {

    /** Reads an identity written as {@code name~incarnation}, the incarnation in base 36. */
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
