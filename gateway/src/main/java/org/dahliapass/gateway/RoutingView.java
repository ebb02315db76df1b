package org.dahliapass.gateway;

import java.util.Collection;
import java.util.Optional;
import org.dahliapass.decisions.routing.AddressPlan;
import org.dahliapass.decisions.routing.RouteTable;
import org.dahliapass.model.routing.FleetVm;

/**
 * An immutable snapshot of the control thread's routing state for the traffic threads.
 *
 * @param routes the newest configuration; empty until the first one is received
 * @param vms the live VMs of the fleet
 * @param plan the VMs that are advertised to callers
 */
public record RoutingView(Optional<RouteTable> routes, Collection<FleetVm> vms, AddressPlan plan) {}
