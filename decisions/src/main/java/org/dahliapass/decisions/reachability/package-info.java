/** Which targets a VM's own network reaches. */
package org.dahliapass.decisions.reachability;
