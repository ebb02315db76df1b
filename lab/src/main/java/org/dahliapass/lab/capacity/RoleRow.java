package org.dahliapass.lab.capacity;

/**
 * One row of the projection.
 *
 * @param role the role of a VM
 * @param part what the cost is for
 * @param state what a VM holds for it
 * @param cost what it costs one VM
 * @param mechanism what carries it
 * @param remedy what would make it cheaper; empty if nothing needs to
 */
record RoleRow(
        String role, String part, String state, Cost cost, String mechanism, String remedy) {}
