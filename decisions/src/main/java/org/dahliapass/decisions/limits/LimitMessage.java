package org.dahliapass.decisions.limits;

/**
 * A message between two VMs about the limit of one customer.
 *
 * @param sender the VM that sends it
 * @param receiver the VM that it is for
 * @param customer the customer
 * @param content what it says
 */
public record LimitMessage(String sender, String receiver, String customer, Content content) {
    /** What a message says. */
    public sealed interface Content {}

    /**
     * The sender's use of the limit.
     *
     * @param requestsPerSecond the rate of the customer's requests at the sender
     * @param wanted whether the sender needs more than its share
     * @param epoch the start of the sender's count, in milliseconds; a later one replaces it
     * @param admitted the number of requests that the sender admitted since
     * @param tokens the number of requests that the sender may admit by its own share now
     */
    public record Use(
            double requestsPerSecond, boolean wanted, long epoch, long admitted, double tokens)
            implements Content {}

    /** Asks the receiver for its use. */
    public record Poll() implements Content {}

    /**
     * Grants the receiver a share of the limit for the duration of a lease.
     *
     * @param share the share, 0 to 1
     */
    public record Lease(double share) implements Content {}
}
