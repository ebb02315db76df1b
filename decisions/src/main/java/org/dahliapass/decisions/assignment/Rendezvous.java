package org.dahliapass.decisions.assignment;

import org.dahliapass.decisions.membership.Hash;

/**
 * Ranks candidates for a key by weighted rendezvous hashing (highest random weight): the same on
 * every VM, and a candidate that goes changes the rank of no other.
 */
public final class Rendezvous {
    private static final double SCALE = 0x1.0p-53;
    private static final int BITS_DROPPED = 11;

    private final long mKeyHash;

    private Rendezvous(long keyHash) {
        mKeyHash = keyHash;
    }

    /** Returns the ranking for a key. */
    public static Rendezvous of(String key) {
        return new Rendezvous(Hash.of(key));
    }

    /** Returns the score of a candidate of weight 1; the highest score wins. */
    public double score(String candidate) {
        return score(candidate, 1);
    }

    /**
     * Returns the score of a candidate; the highest score wins, and a candidate wins a share of all
     * keys that is proportional to its weight.
     *
     * @param weight more than 0
     */
    public double score(String candidate, double weight) {
        long hash = Hash.mix(mKeyHash ^ Hash.of(candidate));
        double uniform = ((hash >>> BITS_DROPPED) + 0.5) * SCALE;
        return -weight / Math.log(uniform);
    }
}
