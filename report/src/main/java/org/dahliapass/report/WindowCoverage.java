package org.dahliapass.report;

/**
 * The coverage of a window by the VMs' counts.
 *
 * @param window the window
 * @param share the fraction of all VMs' time in the window that was counted, 0 to 1
 */
record WindowCoverage(BurnWindow window, double share) {}
