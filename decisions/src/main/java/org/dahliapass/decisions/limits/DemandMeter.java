package org.dahliapass.decisions.limits;

/** An exponentially decaying rate of requests. */
final class DemandMeter {
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double TIME_CONSTANT_MILLIS = 1_000;

    private double mRequestsPerSecond;
    private long mUpdatedMillis;

    void onRequest(long nowMillis) {
        mRequestsPerSecond =
                requestsPerSecond(nowMillis) + MILLIS_PER_SECOND / TIME_CONSTANT_MILLIS;
        mUpdatedMillis = Math.max(mUpdatedMillis, nowMillis);
    }

    double requestsPerSecond(long nowMillis) {
        long elapsedMillis = Math.max(0, nowMillis - mUpdatedMillis);
        return mRequestsPerSecond * Math.exp(-elapsedMillis / TIME_CONSTANT_MILLIS);
    }
}
