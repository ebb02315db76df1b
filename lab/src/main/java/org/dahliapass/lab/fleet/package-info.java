/**
 * Discrete-event simulation of request placement by several VMs, for the comparison of placement
 * strategies.
 */
package org.dahliapass.lab.fleet;
