package org.dahliapass.decisions.membership;

/** The kind of a gossip datagram. */
public enum GossipKind {
    /** Requests an {@link #ACK}. */
    PING,
    /** Acknowledges a ping, with its sequence number. */
    ACK,
    /** Requests that the recipient ping the subject and forward the acknowledgement. */
    PING_REQUEST,
    /** Forwards the subject's acknowledgement, with the request's sequence number. */
    INDIRECT_ACK,
    /** Carries updates and requires no response. */
    RUMOR
}
