package org.dahliapass.operator;

import org.dahliapass.model.Endpoint;

/**
 * A VM as another VM's member list shows it.
 *
 * @param name the VM's name
 * @param operators where the operators' command reaches it
 * @param state the member's state, in the VM's own words
 */
public record Member(String name, Endpoint operators, String state) {}
