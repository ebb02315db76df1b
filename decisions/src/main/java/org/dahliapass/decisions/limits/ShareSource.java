package org.dahliapass.decisions.limits;

import java.util.List;

/**
 * Determines which share of a customer's limit this VM may use.
 *
 * <p>The shares of all VMs add up to at most one as long as the VMs agree on the set of VMs; with
 * different views, the excess is bounded by the time until a message or a lease expires. Not
 * thread-safe.
 */
interface ShareSource {
    /** Updates the VMs that take callers. */
    void onVms(List<String> vms, long nowMillis);

    /** Returns this VM's share of a customer's limit, 0 to 1. */
    double share(String customer, long nowMillis);

    /** Records this VM's demand, in requests per second, and whether its share is nearly used. */
    void onDemand(String customer, double demand, boolean wanted, long nowMillis);

    /** Returns the messages that are due. Called every 100 ms while {@link #isActive}. */
    List<LimitMessage> poll(long nowMillis);

    /** Handles a message of another VM and returns the replies. */
    List<LimitMessage> onMessage(LimitMessage message, long nowMillis);

    /** Returns whether {@link #poll} may have messages to send. */
    boolean isActive();
}
