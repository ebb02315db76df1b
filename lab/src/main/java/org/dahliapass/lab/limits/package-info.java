/** Simulates how the VMs of a fleet share the rate limits of customers. */
package org.dahliapass.lab.limits;
