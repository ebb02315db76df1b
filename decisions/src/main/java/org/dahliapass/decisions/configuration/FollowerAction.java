package org.dahliapass.decisions.configuration;

import java.util.List;
import org.dahliapass.model.VmIdentity;

/** An action that a {@link ConfigurationFollower} requests of its caller. */
public sealed interface FollowerAction {

    /**
     * Send changes to members as a rumor.
     *
     * @param members the recipients
     */
    record SendRumor(List<VmIdentity> members, List<ChangeRecord> records)
            implements FollowerAction {}

    /**
     * Fetch changes from a peer and pass the response to {@link ConfigurationFollower#onAnswer}.
     */
    record FetchRecords(VmIdentity peer, RecordsRequest request) implements FollowerAction {}

    /**
     * Fetch a text from a peer and pass the response to {@link ConfigurationFollower#onText}.
     *
     * @param digest the text's digest
     */
    record FetchText(VmIdentity peer, String customer, String digest) implements FollowerAction {}

    /**
     * Read a key of the store and pass the value to {@link ConfigurationFollower#onStoreItem}.
     *
     * @param attempt number that distinguishes this read from earlier ones of the same key
     */
    record ReadStore(StoreKey key, long attempt) implements FollowerAction {}

    /**
     * Activate a template.
     *
     * @param number the change's number, higher than that of the active template
     * @param text the valid text
     */
    record Apply(String customer, long number, String text) implements FollowerAction {}

    /** Deactivate a customer's template, because this VM serves none of its services any more. */
    record Release(String customer) implements FollowerAction {}

    /**
     * Report an invalid template; the previous one stays active.
     *
     * @param number the change's number
     * @param problem the error in the text
     */
    record Reject(String customer, long number, String problem) implements FollowerAction {}
}
