/** Rate limits of customers that hold for the sum of all VMs, without a coordinator. */
package org.dahliapass.decisions.limits;
