package org.dahliapass.wire;

import org.dahliapass.model.VmIdentity;

/**
 * The settings of a {@link PeerTransport}.
 *
 * @param fleet the fleet's name, identical on all its VMs
 * @param self the identity of this process
 * @param host the IP address to listen on
 * @param port the port for TCP and UDP; 0 for any that is free for both
 */
public record PeerTransportSettings(String fleet, VmIdentity self, String host, int port) {}
