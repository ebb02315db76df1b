package org.dahliapass.gateway;

import java.util.Collection;
import java.util.Optional;
import org.dahliapass.decisions.routing.AddressPlan;
import org.dahliapass.decisions.routing.RouteTable;
import org.dahliapass.model.routing.FleetVm;

/**
 * What the control thread believes, for traffic threads; immutable.
 *
 * @param routes the newest configuration; empty until the first one has come
 * @param vms the live VMs of the fleet
 * @param plan which of them callers are sent to
 */
public record RoutingView(Optional<RouteTable> routes, Collection<FleetVm> vms, AddressPlan plan) {}
