/** Admission control, load balancing, retries and hedging, as pure decisions without I/O. */
package org.dahliapass.decisions.traffic;
