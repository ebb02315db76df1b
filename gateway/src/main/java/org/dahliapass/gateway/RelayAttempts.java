package org.dahliapass.gateway;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;

/** The attempts to have one request served by other VMs. Confined to the traffic thread. */
final class RelayAttempts {
    /** The maximum number of VMs that a request is passed on to, one after the other. */
    private static final int MAX_VMS = 3;

    private final RequestRelay mRelay;
    private final ProxyRequest mRequest;
    private final BooleanSupplier mIsCallerConnected;
    private final Optional<PassOnCause> mPassOnCause;
    private final Set<String> mTriedVms = new HashSet<>();

    /**
     * Creates the attempts of a request.
     *
     * @param passOnCause what this VM lacks to serve the request itself; empty if it has all
     */
    RelayAttempts(
            RequestRelay relay,
            ProxyRequest request,
            BooleanSupplier isCallerConnected,
            Optional<PassOnCause> passOnCause) {
        mRelay = relay;
        mRequest = request;
        mIsCallerConnected = isCallerConnected;
        mPassOnCause = passOnCause;
    }

    /** Returns whether the request is best passed on, or must be. */
    boolean isNeeded() {
        return isOnlyPassedOn() || mRelay.isNeeded();
    }

    /** Returns whether the request is passed on once or refused, and not served by this VM. */
    boolean isOnlyPassedOn() {
        return mPassOnCause.isPresent();
    }

    /**
     * Creates an attempt at a VM that was not tried before.
     *
     * @param targetsLeft the number of targets that the request may still be sent to
     * @param isCounted whether this VM has counted the request as a first attempt
     * @param holdsToken whether this VM holds a token of the customer's rate limit
     * @param cause why the request is sent
     * @param charges the charges of the request
     * @return empty if no VM is available, or another VM passed the request on to this one
     */
    Optional<RelayAttempt> next(
            int targetsLeft,
            boolean isCounted,
            boolean holdsToken,
            AttemptCause cause,
            RequestCharges charges) {
        int maxVms = isOnlyPassedOn() ? 1 : MAX_VMS;
        if (mRequest.isRelayed() || targetsLeft <= 0 || mTriedVms.size() >= maxVms) {
            return Optional.empty();
        }
        RelayHeader header =
                new RelayHeader(targetsLeft, isCounted, holdsToken, mRequest.service());
        Optional<RelayAttempt> attempt =
                mPassOnCause.isPresent()
                        ? mRelay.passOnAttempt(
                                mPassOnCause.get(),
                                mRequest,
                                header,
                                cause,
                                mIsCallerConnected,
                                charges)
                        : mRelay.attempt(
                                mRequest, header, mTriedVms, cause, mIsCallerConnected, charges);
        attempt.ifPresent(created -> mTriedVms.add(created.vm().name()));
        return attempt;
    }

    /** Records that a VM could not be reached or can't serve requests. */
    void onUnavailable(RelayAttempt attempt) {
        mRelay.onUnavailable(attempt.vm());
    }

    /** Records that a VM refused the request. */
    void onRefused(RelayAttempt attempt, AttemptResult.Refused refused) {
        if (refused.isVmUnavailable()) {
            onUnavailable(attempt);
        }
        if (refused.status() == GatewayResponses.UNAVAILABLE) {
            mPassOnCause.ifPresent(resource -> mRelay.onPassOnRefused(attempt.vm(), resource));
        }
    }

    /** Adds a listener that is called once this VM reaches no target. */
    void addWaiter(Runnable waiter) {
        mRelay.addWaiter(waiter);
    }

    /** Removes a listener; has no effect if it was called. */
    void removeWaiter(Runnable waiter) {
        mRelay.removeWaiter(waiter);
    }
}
