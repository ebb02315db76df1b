package org.dahliapass.decisions.health;

/** What a target says of itself; it lags and may mislead. */
public enum HealthReport {
    /** It takes work. */
    SERVING(false),
    /** It has just started and will be slow or fail for a while. */
    COLD(false),
    /** It finishes what it has and wants nothing new. */
    DRAINING(true),
    /** It stops. */
    LEAVING(true),
    /** It says that it can't work: a hint only. */
    UNHEALTHY(false);

    private final boolean mWantsNothingNew;

    HealthReport(boolean wantsNothingNew) {
        mWantsNothingNew = wantsNothingNew;
    }

    /** Returns whether the target must get no new work. */
    public boolean rejectsNewRequests() {
        return mWantsNothingNew;
    }
}
