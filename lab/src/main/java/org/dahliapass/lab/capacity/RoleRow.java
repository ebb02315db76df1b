package org.dahliapass.lab.capacity;

/**
 * One row of the projection.
 *
 * @param role the role of a VM
 * @param part the component that causes the cost
 * @param state the state that a VM keeps for it
 * @param cost the cost on one VM
 * @param mechanism the type or protocol that implements it
 * @param remedy a possible way to reduce the cost; empty if none is needed
 */
record RoleRow(
        String role, String part, String state, Cost cost, String mechanism, String remedy) {}
