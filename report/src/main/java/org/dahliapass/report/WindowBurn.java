package org.dahliapass.report;

import java.util.OptionalDouble;

/**
 * The error budget burn of one request kind over one window.
 *
 * @param window the window
 * @param tally the outcomes of the requests
 * @param burnRate the burn rate, 1 if the budget is used up exactly; empty if there were no
 *     requests
 */
record WindowBurn(BurnWindow window, OutcomeTally tally, OptionalDouble burnRate) {}
