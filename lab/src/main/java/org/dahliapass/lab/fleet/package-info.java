/**
 * Plays the traffic decisions of several VMs against fake targets on a virtual clock, so that an
 * idea about placement costs seconds.
 */
package org.dahliapass.lab.fleet;
