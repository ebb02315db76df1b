/** Which requests a VM takes while it is short of memory. */
package org.dahliapass.decisions.memory;
