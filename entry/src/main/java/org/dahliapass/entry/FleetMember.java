package org.dahliapass.entry;

import org.dahliapass.model.Endpoint;
import org.dahliapass.model.Vm;

/**
 * A VM of the fleet in the operators' view.
 *
 * @param vm the VM
 * @param operatorEndpoint the address of its operator server
 * @param state its membership state in lower case
 */
public record FleetMember(Vm vm, Endpoint operatorEndpoint, String state) {}
