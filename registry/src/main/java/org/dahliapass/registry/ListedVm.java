package org.dahliapass.registry;

import org.dahliapass.model.Endpoint;
import org.dahliapass.model.Vm;

/**
 * A VM in the platform's list. The list may be stale, so it is only a hint.
 *
 * @param vm the VM
 * @param operators the HTTP endpoint for the operators' command
 * @param leaving whether the VM is listed as about to stop
 */
public record ListedVm(Vm vm, Endpoint operators, boolean leaving) {}
