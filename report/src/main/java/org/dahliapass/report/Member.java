package org.dahliapass.report;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import org.dahliapass.model.VmIdentity;

/**
 * An entry of a VM's member list.
 *
 * @param name the VM's name
 * @param incarnation the VM's incarnation in base 36
 * @param operators the VM's operators' address
 * @param state the VM's membership state, in lower case
 */
@JsonIgnoreProperties(ignoreUnknown = true)
record Member(String name, String incarnation, String operators, String state) {
    private static final String DEAD = "dead";

    /** Returns whether the name and the operators' address are present. */
    boolean hasNameAndAddress() {
        return name != null && operators != null;
    }

    /** Returns whether the VM is not known to be dead. */
    boolean isQueryable() {
        return !DEAD.equals(state);
    }

    /** Returns the entry with the higher incarnation; the first if they are equal. */
    static Member newer(Member first, Member second) {
        return first.incarnationNumber() >= second.incarnationNumber() ? first : second;
    }

    private long incarnationNumber() {
        return VmIdentity.parse(name + "~" + incarnation)
                .map(VmIdentity::incarnation)
                .orElse(Long.MIN_VALUE);
    }
}
