/** Decides which VMs serve a service, and which of their addresses callers are told. */
package org.dahliapass.decisions.assignment;
