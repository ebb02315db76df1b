/** Decides which VMs of the fleet are alive, by SWIM-style gossip, without I/O or a clock. */
package org.dahliapass.decisions.membership;
