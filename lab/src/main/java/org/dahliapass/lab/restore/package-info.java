/** An experiment with gateway VMs whose store is restored from older copies. */
package org.dahliapass.lab.restore;
