package org.dahliapass.standins;

import com.linecorp.armeria.common.HttpStatus;

/** The state in a target's health report, with its label and HTTP status. */
enum TargetHealth {
    SERVING("serving", 200),
    COLD("cold", 200),
    DRAINING("draining", 200),
    FAILING("failing", 503);

    private final String mLabel;
    private final int mStatus;

    TargetHealth(String label, int status) {
        mLabel = label;
        mStatus = status;
    }

    String label() {
        return mLabel;
    }

    HttpStatus status() {
        return HttpStatus.valueOf(mStatus);
    }
}
