package org.dahliapass.report;

/**
 * How much of a window is known.
 *
 * @param window the window
 * @param share the part of the VMs' time in it that is known, 0 to 1
 */
record WindowCoverage(BurnWindow window, double share) {}
