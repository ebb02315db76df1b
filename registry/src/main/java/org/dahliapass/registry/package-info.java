/** Clients of the configuration store and the VM list that the entry VM and operators use. */
package org.dahliapass.registry;
