package org.dahliapass.decisions.traffic;

/**
 * Learns how often the targets of one service fall into bouts of failure, how long these last, and
 * what share of their work targets fail within and without.
 *
 * <p>Answers the load pattern of targets that fail a part of their work for some seconds while
 * their health report is good. How often and how much differs by service and changes, so nothing of
 * it is fixed here: each figure starts from a weak prior, which a few bouts outweigh, and older
 * evidence fades. Bouts are counted when they are over, by {@link TargetStateEstimator}.
 *
 * <p>Not safe for use by several threads: the caller guards it by the lock of its slot table. Each
 * call costs O(1).
 */
final class FailureModel {
    /** As if one onset had been seen in half a minute of sound work at one target. */
    private static final double PRIOR_ONSETS = 1;

    private static final double PRIOR_SOUND_MILLIS = 30_000;

    /** As if two bouts of five seconds each had been seen: bouts take "several seconds". */
    private static final double PRIOR_BOUTS = 2;

    private static final double PRIOR_BOUT_MILLIS = 10_000;

    /** As if a bout had been seen in which two of three pieces of work failed. */
    private static final double PRIOR_FAILED_IN_BOUT = 2;

    private static final double PRIOR_WORK_IN_BOUT = 3;

    /** As if a sound target had failed one of a hundred pieces of work. */
    private static final double PRIOR_FAILED_SOUND = 1;

    private static final double PRIOR_WORK_SOUND = 100;

    /** As if half of the failures in a bout had been such that no answer came. */
    private static final double PRIOR_SILENT = 1;

    private static final double PRIOR_FAILURES = 2;

    /**
     * Evidence fades by half whenever this many bouts were seen: enough that a rate is known within
     * a fifth, few enough that a service which changes is known anew within some minutes.
     */
    private static final double MOST_BOUTS = 40;

    /** The same for work at sound targets: a share of 1% is then known within a fifth. */
    private static final double MOST_SOUND_WORK = 4_000;

    /** A target that fails less than every third piece of work is not told from a sound one. */
    private static final double LEAST_FAILED_IN_BOUT = 0.3;

    /** Beyond this share the failures of sound targets would hide their bouts. */
    private static final double MOST_FAILED_SOUND = 0.1;

    private double mOnsets;
    private double mSoundMillis;
    private double mBouts;
    private double mBoutMillis;
    private double mFailedInBout;
    private double mWorkInBout;
    private double mSilentInBout;
    private double mFailedSound;
    private double mWorkSound;

    /** Takes time in which a target was seen sound, in milliseconds. */
    void onHealthyTime(long millis) {
        mSoundMillis += millis;
    }

    /** Takes the beginning of a bout. */
    void onOnset() {
        mOnsets++;
        if (mOnsets > MOST_BOUTS) {
            mOnsets /= 2;
            mSoundMillis /= 2;
        }
    }

    /**
     * Takes a bout that is over.
     *
     * @param millis how long it lasted
     * @param failed pieces of work that failed in it
     * @param silent those of them that got no answer
     * @param work all pieces of work that ended in it
     */
    void onFailurePeriod(long millis, int failed, int silent, int work) {
        mBouts++;
        mBoutMillis += millis;
        mFailedInBout += failed;
        mSilentInBout += silent;
        mWorkInBout += work;
        if (mBouts > MOST_BOUTS) {
            mBouts /= 2;
            mBoutMillis /= 2;
            mFailedInBout /= 2;
            mSilentInBout /= 2;
            mWorkInBout /= 2;
        }
    }

    /** Takes pieces of work that ended at a sound target. */
    void onHealthyAttempts(int failed, int work) {
        mFailedSound += failed;
        mWorkSound += work;
        if (mWorkSound > MOST_SOUND_WORK) {
            mFailedSound /= 2;
            mWorkSound /= 2;
        }
    }

    /** Returns how often a sound target falls into a bout, per millisecond. */
    double onsetPerMilli() {
        return (PRIOR_ONSETS + mOnsets) / (PRIOR_SOUND_MILLIS + mSoundMillis);
    }

    /** Returns how often a bout ends, per millisecond. */
    double recoveryPerMilli() {
        return (PRIOR_BOUTS + mBouts) / (PRIOR_BOUT_MILLIS + mBoutMillis);
    }

    /** Returns the share of targets that are in a bout: what is known of one never seen. */
    double failingShare() {
        return onsetPerMilli() / (onsetPerMilli() + recoveryPerMilli());
    }

    /** Returns the share of its work that a target fails in a bout. */
    double failureRateWhenFailing() {
        double share = (PRIOR_FAILED_IN_BOUT + mFailedInBout) / (PRIOR_WORK_IN_BOUT + mWorkInBout);
        return Math.max(LEAST_FAILED_IN_BOUT, share);
    }

    /** Returns the share of the failures in a bout that show as no answer. */
    double silentShareWhenFailing() {
        return (PRIOR_SILENT + mSilentInBout) / (PRIOR_FAILURES + mFailedInBout);
    }

    /** Returns the share of its work that a sound target fails. */
    double failureRateWhenHealthy() {
        double share = (PRIOR_FAILED_SOUND + mFailedSound) / (PRIOR_WORK_SOUND + mWorkSound);
        return Math.min(MOST_FAILED_SOUND, share);
    }
}
