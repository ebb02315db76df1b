package org.dahliapass.standins;

import com.linecorp.armeria.common.HttpStatus;

/** What a target's health report says. */
enum TargetHealth {
    SERVING("serving", 200),
    COLD("cold", 200),
    DRAINING("draining", 200),
    FAILING("failing", 503);

    private final String mWord;
    private final int mStatus;

    TargetHealth(String word, int status) {
        mWord = word;
        mStatus = status;
    }

    String label() {
        return mWord;
    }

    HttpStatus status() {
        return HttpStatus.valueOf(mStatus);
    }
}
