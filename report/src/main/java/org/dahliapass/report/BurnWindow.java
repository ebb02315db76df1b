package org.dahliapass.report;

import com.fasterxml.jackson.annotation.JsonValue;
import java.time.Duration;

/** A time window up to the present over which a burn rate is computed. */
enum BurnWindow {
    /** Shows the current state; too short for an alert. */
    ONE_MINUTE("1m", Duration.ofMinutes(1)),
    /** Short window of the fast burn alert; clears it soon after recovery. */
    FIVE_MINUTES("5m", Duration.ofMinutes(5)),
    /** Short window of the slow burn alert; clears it soon after recovery. */
    THIRTY_MINUTES("30m", Duration.ofMinutes(30)),
    /** Long window of the fast burn alert; ignores short bursts of errors. */
    ONE_HOUR("1h", Duration.ofHours(1)),
    /** Long window of the slow burn alert; ignores transient faults. */
    SIX_HOURS("6h", Duration.ofHours(6));

    private final String mLabel;
    private final Duration mLength;

    BurnWindow(String label, Duration length) {
        mLabel = label;
        mLength = length;
    }

    /** Returns the label used in reports. */
    @JsonValue
    String label() {
        return mLabel;
    }

    /** Returns the window's length in milliseconds. */
    long millis() {
        return mLength.toMillis();
    }
}
