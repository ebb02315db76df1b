package org.dahliapass.lab.capacity;

/** Computes the interval between paced evidence reports and the cost of reports and heartbeats. */
final class EvidenceReportPacing {
    private static final double MIN_PERIOD_SECONDS = 0.25;
    private static final double HEARTBEAT_SECONDS = 1.5;
    private static final double ACCOUNTED_HEADER_BYTES = 200;
    private static final int ITERATIONS = 200;
    private static final double MICROS = 1e6;

    private final Measurements mMeasurements;
    private final FleetSize mSize;
    private final Assumptions mAssumptions;
    private final double mPeriodSeconds;

    EvidenceReportPacing(Measurements measurements, FleetSize size, Assumptions assumptions) {
        mMeasurements = measurements;
        mSize = size;
        mAssumptions = assumptions;
        mPeriodSeconds = periodWithinBudget();
    }

    /**
     * Iterates to a fixed point: a longer period makes reports larger, which lengthens the period.
     */
    private double periodWithinBudget() {
        double budget = mAssumptions.evidenceBytesPerSecond() / mSize.servicesPerVm();
        double seconds = MIN_PERIOD_SECONDS;
        for (int iteration = 0; iteration < ITERATIONS; iteration++) {
            double report =
                    mMeasurements.estimate(Quantity.EVIDENCE_BYTES, entriesPerReport(seconds));
            double required = (mSize.cellSize() - 1) * (report + ACCOUNTED_HEADER_BYTES) / budget;
            seconds = Math.max(MIN_PERIOD_SECONDS, required);
        }
        return seconds;
    }

    /** Returns the time between two reports of a service, in seconds. */
    double periodSeconds() {
        return mPeriodSeconds;
    }

    /** Returns the expected number of target and kind pairs in a report, under uniform load. */
    double entriesPerReport() {
        return entriesPerReport(mPeriodSeconds);
    }

    private double entriesPerReport(double seconds) {
        double pairs = mSize.targetsPerService() * mAssumptions.kinds();
        double responses = mSize.requestsPerVm() / mSize.servicesPerVm() * seconds;
        return pairs * (1 - Math.pow(1 - 1 / pairs, responses));
    }

    /** Returns the cost of sending and receiving reports and heartbeats on one VM. */
    Cost cost() {
        double receivers = mSize.servicesPerVm() * (mSize.cellSize() - 1);
        double reports = receivers / mPeriodSeconds;
        double heartbeats = receivers * Math.max(0, 1 / HEARTBEAT_SECONDS - 1 / mPeriodSeconds);
        double headers =
                2.0 * Envelope.STREAM_HEADERS + mMeasurements.estimate(Quantity.REPLY_BYTES, 0);
        double report =
                mMeasurements.estimate(Quantity.EVIDENCE_BYTES, entriesPerReport()) + headers;
        double heartbeat = mMeasurements.estimate(Quantity.EVIDENCE_BYTES, 0) + headers;
        double micros =
                reports * mMeasurements.estimate(Quantity.EVIDENCE_TIME, entriesPerReport())
                        + heartbeats * mMeasurements.estimate(Quantity.EVIDENCE_TIME, 0);
        return new Cost(
                2 * 2 * (reports + heartbeats),
                2 * (reports * report + heartbeats * heartbeat),
                micros / MICROS,
                0);
    }
}
