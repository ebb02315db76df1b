/** Measures what one VM's control costs, and works out the cost in a fleet of the intended size. */
package org.dahliapass.lab.capacity;
