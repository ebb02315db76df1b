package org.dahliapass.decisions.admission;

import java.util.OptionalInt;

/** Finds the priorities of customers in this VM's configuration. */
@FunctionalInterface
public interface CustomerPriorities {
    /** Knows the priority of no customer. */
    CustomerPriorities NONE = customer -> OptionalInt.empty();

    /** Returns the priority of a customer; empty if it has none of its own or isn't known. */
    OptionalInt priority(String customer);
}
