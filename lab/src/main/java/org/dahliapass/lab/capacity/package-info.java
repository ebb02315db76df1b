/**
 * Benchmarks of the control plane of one VM, and a projection of its cost to the design fleet size.
 */
package org.dahliapass.lab.capacity;
