/** The operators' command: manages templates in the configuration store and queries VMs. */
package org.dahliapass.operator;
