package org.dahliapass.report;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.List;

/**
 * The burn of one request kind over all windows.
 *
 * @param windows one for each {@link BurnWindow}, shortest first
 */
record WindowBurns(@JsonValue List<WindowBurn> windows) {
    WindowBurns {
        windows = List.copyOf(windows);
    }

    WindowBurn of(BurnWindow window) {
        return windows.stream().filter(burn -> burn.window() == window).findFirst().orElseThrow();
    }

    boolean exceeds(BurnWindow window, double limit) {
        return of(window).burnRate().orElse(0) > limit;
    }
}
