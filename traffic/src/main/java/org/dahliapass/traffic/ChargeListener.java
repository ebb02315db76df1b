package org.dahliapass.traffic;

import org.dahliapass.decisions.traffic.RetryCharge;

/** Receives the charges to the retry budget for the extra attempts of one request. */
@FunctionalInterface
public interface ChargeListener {
    /**
     * Receives a charge whose attempt is not sent yet; called under the lock of the service.
     *
     * <p>The charge is held until {@link ServiceRuntime#onChargeSent} or {@link
     * ServiceRuntime#onChargeReturned} is called for it.
     */
    void onCharged(RetryCharge charge);
}
