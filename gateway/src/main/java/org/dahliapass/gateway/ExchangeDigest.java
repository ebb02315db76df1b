package org.dahliapass.gateway;

import java.util.Optional;
import org.dahliapass.decisions.poison.Treatment;
import org.dahliapass.model.RequestDigest;

/**
 * The digest of one request, and how the request may be treated because targets crashed while they
 * ran requests with the same digest. Confined to the traffic thread.
 */
final class ExchangeDigest {
    private final ProxyRequest mRequest;
    private final PoisonGuard mGuard;
    private Optional<RequestDigest> mDigest = Optional.empty();
    private boolean mHoldsLock;

    ExchangeDigest(ProxyRequest request, PoisonGuard guard) {
        mRequest = request;
        mGuard = guard;
    }

    /** Returns the digest if it was needed so far. */
    Optional<RequestDigest> known() {
        return mDigest;
    }

    /** Computed on first use: most requests never need their digest. */
    private RequestDigest get() {
        if (mDigest.isEmpty()) {
            mDigest = Optional.of(mRequest.digest());
        }
        return mDigest.get();
    }

    /** Returns how the request may be treated now. */
    Treatment treatment() {
        return mGuard.treatment(this::get);
    }

    /** Returns whether the request has to wait for one with the same digest. */
    boolean isLocked() {
        return treatment() != Treatment.USUAL && mGuard.digestLocks().isHeld(get());
    }

    /**
     * Calls a listener once the request with the same digest has ended.
     *
     * @return false if too many requests wait for it
     */
    boolean addWaiter(Runnable waiter) {
        return mGuard.digestLocks().addWaiter(get(), waiter);
    }

    /** Makes requests with the same digest wait, if they may only run one at a time. */
    void lockIfAlone() {
        if (treatment() == Treatment.ALONE) {
            mGuard.digestLocks().acquire(get());
            mHoldsLock = true;
        }
    }

    /** Lets requests with the same digest go on; has no effect without the lock. */
    void unlock() {
        if (mHoldsLock) {
            mHoldsLock = false;
            mGuard.digestLocks().release(get());
        }
    }

    /**
     * Records that the request is refused because it is quarantined.
     *
     * @return the remaining time of the quarantine, in milliseconds
     */
    long onRefused() {
        return mGuard.onRefused(get());
    }

    /** Records that a target sent a complete response. */
    void onResponse() {
        mGuard.onResponse(this::get);
    }

    /**
     * Records the end of an attempt: unlocks the digest, or does so after a liveness check of the
     * target if the attempt's connection broke.
     */
    void onEnded(TargetAttempt attempt, AttemptResult result) {
        if (result instanceof AttemptResult.Failed failed && failed.kind().brokeConnection()) {
            mGuard.onConnectionBroken(attempt, get(), this::unlock);
        } else {
            unlock();
        }
    }
}
