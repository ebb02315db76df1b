/** Assigns VMs to services and selects the addresses that callers are given. */
package org.dahliapass.decisions.assignment;
