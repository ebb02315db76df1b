/** The order in which waiting requests get slots, and the shares of customers over all VMs. */
package org.dahliapass.decisions.admission;
