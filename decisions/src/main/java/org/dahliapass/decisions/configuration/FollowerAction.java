package org.dahliapass.decisions.configuration;

import java.util.List;
import org.dahliapass.model.VmIdentity;

/** What a {@link ConfigurationFollower} wants done. */
public sealed interface FollowerAction {

    /**
     * Send changes to members.
     *
     * @param members the receivers
     * @param records the changes
     */
    record SendRumor(List<VmIdentity> members, List<ChangeRecord> records)
            implements FollowerAction {}

    /**
     * Ask a peer for changes.
     *
     * @param peer the peer
     * @param request what to ask
     */
    record FetchRecords(VmIdentity peer, RecordsRequest request) implements FollowerAction {}

    /**
     * Ask a peer for a text.
     *
     * @param peer the peer
     * @param customer the customer
     * @param digest the text's digest
     */
    record FetchText(VmIdentity peer, String customer, String digest) implements FollowerAction {}

    /**
     * Read a key of the store.
     *
     * @param key the key
     * @param attempt tells this read from an earlier one of the same key, whose answer is late
     */
    record ReadStore(StoreKey key, long attempt) implements FollowerAction {}

    /**
     * Put a template in force.
     *
     * @param customer the customer
     * @param number the change's number, higher than that of the template in force
     * @param text the text, which passed its check
     */
    record Apply(String customer, long number, String text) implements FollowerAction {}

    /**
     * Let go of a customer's template: this VM serves none of its services any more.
     *
     * @param customer the customer
     */
    record Release(String customer) implements FollowerAction {}

    /**
     * Report a template that failed its check; the one in force stays.
     *
     * @param customer the customer
     * @param number the change's number
     * @param problem what is wrong
     */
    record Reject(String customer, long number, String problem) implements FollowerAction {}
}
