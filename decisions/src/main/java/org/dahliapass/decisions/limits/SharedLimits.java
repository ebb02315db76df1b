package org.dahliapass.decisions.limits;

import java.util.List;
import java.util.OptionalLong;
import org.dahliapass.model.routing.RateLimit;

/**
 * This VM's part in limits that all VMs hold together. Not thread-safe.
 *
 * <p>A VM that knows nothing of the others admits at most its even share, so that the sum holds in
 * any partition of the network.
 */
interface SharedLimits {
    /**
     * Updates the VMs that divide the limits.
     *
     * @param vms the VMs that take callers
     * @param part the part of its own share that this VM may use, 0 to 1
     */
    void onVms(List<String> vms, double part, long nowMillis);

    /**
     * Takes a token if one is available.
     *
     * @param limit the limit that all VMs enforce together
     * @param minCapacity the capacity below which a VM's own bucket does not fall
     * @return empty if a token was taken; otherwise the time until one is available, in
     *     milliseconds
     */
    OptionalLong tryAcquire(String customer, RateLimit limit, double minCapacity, long nowMillis);

    /** Returns the token of a request that was not sent. */
    void release(String customer);

    /** Returns the messages that are due. */
    List<LimitMessage> poll(long nowMillis);

    /** Handles a message of another VM and returns the replies. */
    List<LimitMessage> onMessage(LimitMessage message, long nowMillis);

    /** Returns whether {@link #poll} may have messages to send. */
    boolean isActive();

    /** Removes the state of idle customers. */
    void evictIdle(long nowMillis);

    /** Returns the number of customers with state. */
    int size();
}
