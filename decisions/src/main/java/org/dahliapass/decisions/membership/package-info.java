/** SWIM-style gossip membership of the VMs of the fleet, without I/O or a clock. */
package org.dahliapass.decisions.membership;
