package org.dahliapass.report;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.List;

/**
 * The error budget burn of one request kind over all windows.
 *
 * @param windows the burn in each {@link BurnWindow}, shortest window first
 */
record WindowBurns(@JsonValue List<WindowBurn> windows) {
    WindowBurns {
        windows = List.copyOf(windows);
    }

    WindowBurn of(BurnWindow window) {
        return windows.stream().filter(burn -> burn.window() == window).findFirst().orElseThrow();
    }

    boolean exceeds(BurnWindow window, double threshold) {
        return of(window).burnRate().orElse(0) > threshold;
    }
}
