package org.dahliapass.registry;

import org.dahliapass.model.Endpoint;
import org.dahliapass.model.Vm;

/**
 * A VM as the platform's list shows it; the list lags, so this is a hint and never a verdict.
 *
 * @param vm the VM
 * @param operators where the operators' command reaches it (HTTP)
 * @param leaving whether the list says that it is about to stop
 */
public record ListedVm(Vm vm, Endpoint operators, boolean leaving) {}
