package org.dahliapass.decisions.membership;

/** What a datagram between VMs asks for or answers. */
public enum GossipKind {
    /** Asks the recipient for an {@link #ACK}. */
    PING,
    /** Answers a ping, with its sequence number. */
    ACK,
    /** Asks the recipient to ping the subject and to pass on its answer. */
    PING_REQUEST,
    /** Passes on that the subject answered, with the request's sequence number. */
    INDIRECT_ACK,
    /** Carries news and wants no answer. */
    RUMOR
}
