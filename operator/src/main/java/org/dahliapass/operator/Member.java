package org.dahliapass.operator;

import org.dahliapass.model.Endpoint;

/**
 * An entry of a VM's member list.
 *
 * @param name the VM's name
 * @param operators the VM's operators' address
 * @param state the member's state, as reported by the VM
 */
public record Member(String name, Endpoint operators, String state) {}
