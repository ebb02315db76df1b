package org.dahliapass.report;

import java.util.OptionalDouble;

/**
 * The burn of one request kind over one window.
 *
 * @param window the window
 * @param tally how the requests ended
 * @param burnRate how many times faster than allowed the budget was spent; empty without requests
 */
record WindowBurn(BurnWindow window, OutcomeTally tally, OptionalDouble burnRate) {}
