package org.dahliapass.gateway;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.dahliapass.decisions.traffic.RetryCharge;
import org.dahliapass.traffic.ChargeListener;
import org.dahliapass.traffic.ServiceRuntime;

/**
 * The charges to the retry budget for the attempts of one request, each of which is due once the
 * request is written a second time. Confined to the traffic thread.
 */
final class RequestCharges implements ChargeListener {
    private final ServiceRuntime mRuntime;
    private final Deque<RetryCharge> mHeld = new ArrayDeque<>();

    /** The charges of requests that were passed on and have not ended. */
    private final List<ArrivalCharge> mPassedOn = new ArrayList<>();

    private int mWritten;

    RequestCharges(ServiceRuntime runtime) {
        mRuntime = runtime;
    }

    @Override
    public void onCharged(RetryCharge charge) {
        mHeld.add(charge);
    }

    /**
     * Records that the request is written to a target.
     *
     * @return at whose charge
     */
    ArrivalCharge onWritten() {
        ArrivalCharge arrival = takeCharge();
        arrival.charge().ifPresent(mRuntime::onChargeSent);
        return arrival;
    }

    /**
     * Records that the request is passed on to another VM, which sends it to a target at any time
     * until it responds.
     *
     * @return at whose charge; to be passed to {@link #onRelayEnded}
     */
    ArrivalCharge onPassedOn() {
        ArrivalCharge arrival = takeCharge();
        mPassedOn.add(arrival);
        return arrival;
    }

    private ArrivalCharge takeCharge() {
        mWritten++;
        if (mWritten == 1) {
            return ArrivalCharge.FIRST;
        }
        Optional<RetryCharge> charge = Optional.ofNullable(mHeld.poll());
        if (charge.isEmpty()) {
            mRuntime.onUnchargedAttempt();
        }
        return charge.map(ArrivalCharge::of).orElse(ArrivalCharge.MISSING);
    }

    /**
     * Records that another VM has ended a request; a second call has no effect.
     *
     * @param hasReachedTarget whether the request may have reached a target there; if not, the next
     *     attempt takes its place
     */
    void onRelayEnded(ArrivalCharge arrival, boolean hasReachedTarget) {
        if (!mPassedOn.remove(arrival)) {
            return;
        }
        if (hasReachedTarget) {
            arrival.charge().ifPresent(mRuntime::onChargeSent);
            return;
        }
        mWritten--;
        arrival.charge().ifPresent(mHeld::addFirst);
    }

    /** Returns whether the request was written to a target or passed on. */
    boolean hasWritten() {
        return mWritten > 0;
    }

    /** Returns the charges whose attempts were not sent; call it when the request has ended. */
    void release() {
        while (!mHeld.isEmpty()) {
            mRuntime.onChargeReturned(mHeld.poll());
        }
    }
}
