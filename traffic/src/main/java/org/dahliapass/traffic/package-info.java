/** The runtime of one service's traffic decisions on one VM, and its metrics. */
package org.dahliapass.traffic;
