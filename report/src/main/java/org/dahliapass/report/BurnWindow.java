package org.dahliapass.report;

import com.fasterxml.jackson.annotation.JsonValue;
import java.time.Duration;

/** A span of time up to now over which a burn rate is taken. */
enum BurnWindow {
    /** Shows what happens right now; too short for an alarm. */
    ONE_MINUTE("1m", Duration.ofMinutes(1)),
    /** Ends a fast alarm soon after its cause. */
    FIVE_MINUTES("5m", Duration.ofMinutes(5)),
    /** Ends a slow alarm soon after its cause. */
    THIRTY_MINUTES("30m", Duration.ofMinutes(30)),
    /** Keeps a short burst from raising a fast alarm. */
    ONE_HOUR("1h", Duration.ofHours(1)),
    /** Keeps a passing fault from raising a slow alarm. */
    SIX_HOURS("6h", Duration.ofHours(6));

    private final String mLabel;
    private final Duration mLength;

    BurnWindow(String label, Duration length) {
        mLabel = label;
        mLength = length;
    }

    /** Returns how the window is written. */
    @JsonValue
    String label() {
        return mLabel;
    }

    /** Returns the window's length in milliseconds. */
    long millis() {
        return mLength.toMillis();
    }
}
