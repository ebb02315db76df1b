/** Measures what a VM adds to a request's latency, and its memory while it streams. */
package org.dahliapass.lab.latency;
