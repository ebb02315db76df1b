package org.dahliapass.report;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import org.dahliapass.model.VmIdentity;

/**
 * A VM as another VM lists it.
 *
 * @param name its name
 * @param incarnation its incarnation in base 36
 * @param operators where operators reach it
 * @param state its state in the membership, in lower case
 */
@JsonIgnoreProperties(ignoreUnknown = true)
record Member(String name, String incarnation, String operators, String state) {
    private static final String DEAD = "dead";

    /** Returns whether it says enough to be asked. */
    boolean hasNameAndAddress() {
        return name != null && operators != null;
    }

    /** Returns whether it may still answer. */
    boolean isQueryable() {
        return !DEAD.equals(state);
    }

    /** Returns the later life of a VM; of two lists' words on one life, any will do. */
    static Member newer(Member one, Member other) {
        return one.incarnationNumber() >= other.incarnationNumber() ? one : other;
    }

    private long incarnationNumber() {
        return VmIdentity.parse(name + "~" + incarnation)
                .map(VmIdentity::incarnation)
                .orElse(Long.MIN_VALUE);
    }
}
