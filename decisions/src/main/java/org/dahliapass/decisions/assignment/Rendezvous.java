package org.dahliapass.decisions.assignment;

import org.dahliapass.decisions.membership.Hash;

/**
 * Ranks candidates for a key by weighted rendezvous hashing (highest random weight). Every VM
 * computes the same ranking, and removing a candidate keeps the order of the others.
 */
public final class Rendezvous {
    private static final double SCALE = 0x1.0p-53;
    private static final int DISCARDED_BITS = 11;

    private final long mKeyHash;

    private Rendezvous(long keyHash) {
        mKeyHash = keyHash;
    }

    /** Returns the ranking for a key. */
    public static Rendezvous of(String key) {
        return new Rendezvous(Hash.of(key));
    }

    /** Returns the score of a candidate of weight 1; the candidate with the highest score wins. */
    public double score(String candidate) {
        return score(candidate, 1);
    }

    /**
     * Returns the score of a candidate; the candidate with the highest score wins. A candidate's
     * share of all keys is proportional to its weight.
     *
     * @param weight greater than 0
     */
    public double score(String candidate, double weight) {
        long hash = Hash.mix(mKeyHash ^ Hash.of(candidate));
        double uniform = ((hash >>> DISCARDED_BITS) + 0.5) * SCALE;
        return -weight / Math.log(uniform);
    }
}
