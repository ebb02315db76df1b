package org.dahliapass.decisions.assignment;

import java.time.Duration;
import java.util.List;
import org.dahliapass.model.Vm;

/**
 * The VM addresses returned to a caller for one service.
 *
 * @param vms the VMs to use, the preferred one first; empty if no VM is usable
 * @param timeToLive how long the caller may cache the addresses
 */
public record SelectedAddresses(List<Vm> vms, Duration timeToLive) {}
