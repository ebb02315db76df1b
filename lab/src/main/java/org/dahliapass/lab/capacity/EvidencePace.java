package org.dahliapass.lab.capacity;

/** Works out how often paced evidence reports go out, and what they cost with signs of life. */
final class EvidencePace {
    private static final double SHORTEST_SECONDS = 0.25;
    private static final double SIGN_OF_LIFE_SECONDS = 1.5;
    private static final double ACCOUNTED_FRAME = 200;
    private static final int ROUNDS = 200;
    private static final double MICROS = 1e6;

    private final Slopes mSlopes;
    private final FleetSize mSize;
    private final Assumptions mAssumptions;
    private final double mSeconds;

    EvidencePace(Slopes slopes, FleetSize size, Assumptions assumptions) {
        mSlopes = slopes;
        mSize = size;
        mAssumptions = assumptions;
        mSeconds = settle();
    }

    /** A longer pause gathers more targets in a report, which then pays for a longer pause. */
    private double settle() {
        double budget = mAssumptions.evidenceBytes() / mSize.servicesPerVm();
        double seconds = SHORTEST_SECONDS;
        for (int round = 0; round < ROUNDS; round++) {
            double report = mSlopes.at(Quantity.EVIDENCE_BYTES, entries(seconds));
            double paid = (mSize.cell() - 1) * (report + ACCOUNTED_FRAME) / budget;
            seconds = Math.max(SHORTEST_SECONDS, paid);
        }
        return seconds;
    }

    /** Returns the time between two reports of a service. */
    double seconds() {
        return mSeconds;
    }

    /** Returns how many pairs of target and kind a report names, if work falls evenly on them. */
    double entries() {
        return entries(mSeconds);
    }

    private double entries(double seconds) {
        double pairs = mSize.targetsPerService() * mAssumptions.kinds();
        double answers = mSize.requestsPerVm() / mSize.servicesPerVm() * seconds;
        return pairs * (1 - Math.pow(1 - 1 / pairs, answers));
    }

    /** Returns what a VM spends on sending and taking reports and signs of life. */
    Cost cost() {
        double receivers = mSize.servicesPerVm() * (mSize.cell() - 1);
        double reports = receivers / mSeconds;
        double signs = receivers * Math.max(0, 1 / SIGN_OF_LIFE_SECONDS - 1 / mSeconds);
        double headers = 2.0 * Envelope.STREAM_HEADERS + mSlopes.at(Quantity.REPLY_BYTES, 0);
        double report = mSlopes.at(Quantity.EVIDENCE_BYTES, entries()) + headers;
        double sign = mSlopes.at(Quantity.EVIDENCE_BYTES, 0) + headers;
        double micros =
                reports * mSlopes.at(Quantity.EVIDENCE_TIME, entries())
                        + signs * mSlopes.at(Quantity.EVIDENCE_TIME, 0);
        return new Cost(
                2 * 2 * (reports + signs),
                2 * (reports * report + signs * sign),
                micros / MICROS,
                0);
    }
}
