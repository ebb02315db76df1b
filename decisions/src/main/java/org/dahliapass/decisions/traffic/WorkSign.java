package org.dahliapass.decisions.traffic;

/** How a piece of work ended, by how likely that is in a bout of the target and without one. */
public enum WorkSign {
    /** A whole answer in good time. */
    ANSWERED(true, false) {
        @Override
        double inBout(BoutRates rates) {
            return 1 - rates.failedInBout();
        }

        @Override
        double whileSound(BoutRates rates) {
            return 1 - rates.failedSound();
        }
    },
    /** An error that the target itself answered. */
    ERROR(true, true) {
        @Override
        double inBout(BoutRates rates) {
            return rates.failedInBout();
        }

        @Override
        double whileSound(BoutRates rates) {
            return rates.failedSound();
        }
    },
    /** A connection that broke before the whole answer: the target, or the path to it. */
    BROKEN(false, true) {
        @Override
        double inBout(BoutRates rates) {
            return rates.failedInBout();
        }

        @Override
        double whileSound(BoutRates rates) {
            return rates.failedSound();
        }
    },
    /** No answer at all: the target, or the path to it. */
    SILENT(false, true) {
        @Override
        double inBout(BoutRates rates) {
            return rates.failedInBout() * rates.silentInBout();
        }

        @Override
        double whileSound(BoutRates rates) {
            return rates.failedSound() / 2;
        }
    },
    /** Given up as unusually late: slow targets and long work look so. */
    LATE(false, true) {
        @Override
        double inBout(BoutRates rates) {
            return Math.sqrt(SILENT.inBout(rates));
        }

        @Override
        double whileSound(BoutRates rates) {
            return Math.sqrt(SILENT.whileSound(rates));
        }
    };

    private final boolean mCameBack;
    private final boolean mFailure;

    WorkSign(boolean cameBack, boolean failure) {
        mCameBack = cameBack;
        mFailure = failure;
    }

    /** Returns how likely this end is in a bout. */
    abstract double inBout(BoutRates rates);

    /** Returns how likely this end is at a sound target over a sound path. */
    abstract double whileSound(BoutRates rates);

    /** Returns whether an answer came, which proves the path to the target. */
    public boolean cameBack() {
        return mCameBack;
    }

    /** Returns whether this speaks against the target. */
    public boolean isFailure() {
        return mFailure;
    }
}
