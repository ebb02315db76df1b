/** Small in-memory stand-ins for the configuration store, the VM list and the targets. */
package org.dahliapass.standins;
