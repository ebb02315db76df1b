/** Measures the processor time that one gateway VM takes to start, to idle and for its requests. */
package org.dahliapass.lab.cost;
