/** Clients of the configuration store and the VM list, for entry VMs and operators. */
package org.dahliapass.registry;
