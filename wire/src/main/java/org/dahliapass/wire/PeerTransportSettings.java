package org.dahliapass.wire;

import org.dahliapass.model.VmIdentity;

/**
 * Who speaks, and where it listens.
 *
 * @param fleet the fleet's name, the same on all its VMs
 * @param self this process
 * @param host the IP number to listen on
 * @param port for TCP and UDP; 0 for any that is free for both
 */
public record PeerTransportSettings(String fleet, VmIdentity self, String host, int port) {}
