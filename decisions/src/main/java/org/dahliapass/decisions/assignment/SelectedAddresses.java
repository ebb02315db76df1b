package org.dahliapass.decisions.assignment;

import java.time.Duration;
import java.util.List;
import org.dahliapass.model.Vm;

/**
 * What a caller is told that asks where to send its requests.
 *
 * @param vms which VMs to use, the preferred one first; empty if the fleet has none
 * @param timeToLive how long the caller may keep the answer
 */
public record SelectedAddresses(List<Vm> vms, Duration timeToLive) {}
