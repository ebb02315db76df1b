package org.dahliapass.entry;

import org.dahliapass.model.Endpoint;
import org.dahliapass.model.Vm;

/**
 * A VM as operators see it.
 *
 * @param vm the VM
 * @param operatorEndpoint where operators reach it
 * @param state its state in the membership, in lower case
 */
public record FleetMember(Vm vm, Endpoint operatorEndpoint, String state) {}
