package org.dahliapass.decisions.routing;

/**
 * A period in which the store answered without a gap that is long enough for entries to expire.
 *
 * @param sinceMillis the time of the first answer, in milliseconds
 * @param untilMillis the time of the last answer, in milliseconds
 * @param isAfterOutage whether the store was away before; false also if nothing is known of the
 *     time before
 */
public record AnswerPeriod(long sinceMillis, long untilMillis, boolean isAfterOutage) {
    /**
     * The longest gap that doesn't separate two periods, in milliseconds. A target writes its entry
     * about every 1.5 s, and the entry expires after three intervals without a write, so an outage
     * of less than one interval lets none expire.
     */
    static final long MAX_GAP_MILLIS = 1_400;

    /** Returns the period of a single answer. */
    public static AnswerPeriod at(long nowMillis) {
        return new AnswerPeriod(nowMillis, nowMillis, false);
    }

    /** Returns whether no entry can have expired between this period and another one. */
    boolean isContiguousWith(AnswerPeriod other) {
        return other.sinceMillis - untilMillis <= MAX_GAP_MILLIS
                && sinceMillis - other.untilMillis <= MAX_GAP_MILLIS;
    }

    /** Returns the period that spans this and another one. */
    AnswerPeriod union(AnswerPeriod other) {
        AnswerPeriod first = other.sinceMillis < sinceMillis ? other : this;
        return new AnswerPeriod(
                first.sinceMillis, Math.max(untilMillis, other.untilMillis), first.isAfterOutage);
    }

    boolean startsLike(AnswerPeriod other) {
        return sinceMillis == other.sinceMillis && isAfterOutage == other.isAfterOutage;
    }

    /** Returns the same period, with an outage before it. */
    AnswerPeriod afterOutage() {
        return new AnswerPeriod(sinceMillis, untilMillis, true);
    }
}
