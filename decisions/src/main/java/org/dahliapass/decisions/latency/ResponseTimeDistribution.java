package org.dahliapass.decisions.latency;

/**
 * The distribution of the response times of one route, as a histogram over their logarithm.
 *
 * <p>Not thread-safe; guarded by the service's lock. Adding a response is O(steps), and so is the
 * first read after it; further reads are O(1).
 */
public final class ResponseTimeDistribution implements ResponseTimeCurve {
    /** The width of a step: about 10%. */
    private static final double LOG_STEP = Math.log(1.1);

    private static final double MAX_MILLIS = 120_000;

    /** One step for times up to 1 ms, and the steps from there to the maximum. */
    private static final int STEPS = 1 + (int) Math.ceil(Math.log(MAX_MILLIS) / LOG_STEP);

    /** The weight that remains of older responses with each new one: about the last 300 count. */
    private static final float REMAINING_WEIGHT = 1 - 1 / 300f;

    /** The weight of the initial curve, in responses, so that one response changes little. */
    private static final double PRIOR_WEIGHT = 20;

    /**
     * About 1% of healthy responses take several times the usual time, however short the others.
     */
    private static final double MIN_SURVIVAL = 0.002;

    /** The share of healthy responses that are overdue. */
    private static final double OVERDUE_SHARE = 0.07;

    /** Above a typical garbage collection pause of the VM. */
    private static final long MIN_OVERDUE_MILLIS = 150;

    /** An attempt is lost once fewer healthy responses take as long. */
    private static final double LOST_SURVIVAL = 0.01;

    private static final long MIN_LOST_MILLIS = 300;

    /** The ratio of the overdue time to the mean in the initial curve. */
    private static final double PRIOR_OVERDUE_FACTOR = 2.2;

    private final float[] mWeights = new float[STEPS];

    /** The survival function at the upper end of each step, valid unless {@code mChanged}. */
    private final float[] mSurvival = new float[STEPS];

    private boolean mChanged = true;
    private long mOverdueAfterMillis;
    private long mLostAfterMillis;

    /**
     * Creates a distribution around an expected response time.
     *
     * @param expectedMillis the expected mean response time, in milliseconds
     */
    public ResponseTimeDistribution(double expectedMillis) {
        FixedResponseTimes prior =
                new FixedResponseTimes(
                        Math.max(1, Math.round(expectedMillis * PRIOR_OVERDUE_FACTOR)));
        double survival = 1;
        for (int step = 0; step < STEPS; step++) {
            double atEnd =
                    step == STEPS - 1 ? 0 : prior.survivalProbability(Math.round(endMillis(step)));
            mWeights[step] = (float) (PRIOR_WEIGHT * (survival - atEnd));
            survival = atEnd;
        }
    }

    private static double endMillis(int step) {
        return Math.exp(step * LOG_STEP);
    }

    /** Returns the position of a time among the upper ends of the steps, which may lie between. */
    private static double position(double millis) {
        return Math.min(STEPS - 1, Math.max(0, Math.log(Math.max(1, millis)) / LOG_STEP));
    }

    /** Records the time of a complete response, in milliseconds. */
    public void add(double responseMillis) {
        for (int step = 0; step < STEPS; step++) {
            mWeights[step] *= REMAINING_WEIGHT;
        }
        mWeights[(int) Math.ceil(position(responseMillis))]++;
        mChanged = true;
    }

    /**
     * Records that a response takes longer than a time, where it was cut off.
     *
     * @param ageMillis the time, in milliseconds
     * @param weight the probability that a response would have arrived, from 0 to 1
     */
    public void addLongerThan(long ageMillis, double weight) {
        int first = Math.min(STEPS - 1, 1 + (int) Math.ceil(position((double) ageMillis)));
        double above = 0;
        for (int step = first; step < STEPS; step++) {
            above += mWeights[step];
        }
        for (int step = 0; step < STEPS; step++) {
            double share = step < first ? 0 : above > 0 ? mWeights[step] / above : 0;
            mWeights[step] = (float) (mWeights[step] * REMAINING_WEIGHT + weight * share);
        }
        mChanged = true;
    }

    @Override
    public double survivalProbability(long ageMillis) {
        update();
        if (ageMillis <= 0) {
            return 1;
        }
        double position = position((double) ageMillis);
        int step = (int) position;
        double atStep = mSurvival[step];
        double atNext = mSurvival[Math.min(STEPS - 1, step + 1)];
        return Math.max(MIN_SURVIVAL, atStep + (atNext - atStep) * (position - step));
    }

    @Override
    public long overdueAfterMillis() {
        update();
        return mOverdueAfterMillis;
    }

    @Override
    public boolean isLost(long ageMillis) {
        update();
        return ageMillis >= mLostAfterMillis;
    }

    /** Returns the time that half of the responses exceed, in milliseconds. */
    public double medianMillis() {
        update();
        return quantileMillis(0.5);
    }

    private void update() {
        if (!mChanged) {
            return;
        }
        mChanged = false;
        double total = 0;
        for (float weight : mWeights) {
            total += weight;
        }
        double above = total;
        for (int step = 0; step < STEPS; step++) {
            above -= mWeights[step];
            mSurvival[step] = (float) Math.max(0, above / total);
        }
        mOverdueAfterMillis =
                Math.max(MIN_OVERDUE_MILLIS, Math.round(quantileMillis(OVERDUE_SHARE)));
        mLostAfterMillis =
                Math.max(
                        MIN_LOST_MILLIS,
                        Math.min(
                                2 * mOverdueAfterMillis,
                                (long) Math.ceil(quantileMillis(LOST_SURVIVAL))));
    }

    /** Returns the time that a share of the responses exceeds. */
    private double quantileMillis(double share) {
        int step = 0;
        while (step < STEPS - 1 && mSurvival[step] > share) {
            step++;
        }
        if (step == 0) {
            return endMillis(0);
        }
        double before = mSurvival[step - 1];
        double within = (before - share) / Math.max(1e-9, before - mSurvival[step]);
        return endMillis(step - 1) * Math.exp(within * LOG_STEP);
    }
}
