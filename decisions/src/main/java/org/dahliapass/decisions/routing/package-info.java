/**
 * Request routing, the assignment of callers to VMs, and the selection of configuration sources.
 */
package org.dahliapass.decisions.routing;
