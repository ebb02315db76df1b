package org.dahliapass.decisions.routing;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Tells when the store returned from an outage that let entries expire.
 *
 * <p>The store may turn some VMs away while it serves the targets and the other VMs. Answers to any
 * VM therefore count, and an outage is a time in which no VM is known to have received one.
 *
 * <p>Not thread-safe.
 */
public final class StoreAvailability {
    private Optional<AnswerPeriod> mPeriod = Optional.empty();
    private boolean mFailedFirst;

    /** Records that the store didn't answer a call. */
    public void onFailure() {
        mFailedFirst |= mPeriod.isEmpty();
    }

    /**
     * Adds a period in which the store answered this or another VM.
     *
     * @return whether what is known of the start of the latest period changed
     */
    public boolean add(AnswerPeriod added) {
        Optional<AnswerPeriod> before = mPeriod;
        AnswerPeriod latest = before.map(known -> latest(known, added)).orElse(first(added));
        mPeriod = Optional.of(latest);
        return before.filter(known -> known.startsLike(latest)).isEmpty();
    }

    private AnswerPeriod first(AnswerPeriod added) {
        return mFailedFirst ? added.afterOutage() : added;
    }

    private static AnswerPeriod latest(AnswerPeriod known, AnswerPeriod added) {
        if (known.isContiguousWith(added)) {
            return known.union(added);
        }
        AnswerPeriod later = added.untilMillis() > known.untilMillis() ? added : known;
        return later.afterOutage();
    }

    /** Returns the latest period in which the store answered; empty if no answer is known. */
    public Optional<AnswerPeriod> period() {
        return mPeriod;
    }

    /**
     * Returns when the store returned from its latest outage, in milliseconds; empty if unknown.
     */
    public OptionalLong latestReturnMillis() {
        return mPeriod.stream()
                .filter(AnswerPeriod::isAfterOutage)
                .mapToLong(AnswerPeriod::sinceMillis)
                .findFirst();
    }
}
