/** Acceptance of template changes into a fleet-wide log, and their distribution to the VMs. */
package org.dahliapass.decisions.configuration;
