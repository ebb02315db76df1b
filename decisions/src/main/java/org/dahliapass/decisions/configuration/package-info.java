/** How templates are accepted into one fleet-wide order and spread to the VMs that need them. */
package org.dahliapass.decisions.configuration;
