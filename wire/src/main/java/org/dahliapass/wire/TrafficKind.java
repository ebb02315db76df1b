package org.dahliapass.wire;

import org.dahliapass.wire.message.Gossip;
import org.dahliapass.wire.message.PeerRequest;

/** The kinds of messages in {@link TrafficCounters}. */
public enum TrafficKind {
    /** A probe that expects an ack. */
    PING,
    /** The reply to a ping. */
    ACK,
    /** A request to ping a third VM. */
    PING_REQUEST,
    /** An ack that is forwarded to the VM that requested the ping. */
    INDIRECT_ACK,
    /** Membership and configuration updates, without a reply. */
    RUMOR,
    /** A request for the member list. */
    JOIN,
    /** A request for configuration changes. */
    FETCH_CHANGES,
    /** A request for the text of a template. */
    FETCH_TEXT,
    /** A home's intent to dispatch the operation of a key. */
    RECORD_INTENT,
    /** The outcome of the operation of a key. */
    RECORD_OUTCOME,
    /** A request for the outcome of the operation of a key. */
    RESOLVE_KEY,
    /** A VM's observations of its targets. */
    EVIDENCE_REPORT,
    /** A reply to any request. */
    REPLY,
    /** A kind that only newer releases know. */
    UNKNOWN;

    /** Returns the kind of a datagram. */
    static TrafficKind of(Gossip gossip) {
        return switch (gossip.getKind()) {
            case PING -> PING;
            case ACK -> ACK;
            case PING_REQUEST -> PING_REQUEST;
            case INDIRECT_ACK -> INDIRECT_ACK;
            case RUMOR -> RUMOR;
            default -> UNKNOWN;
        };
    }

    /** Returns the kind of a request. */
    static TrafficKind of(PeerRequest request) {
        return switch (request.getBodyCase()) {
            case JOIN -> JOIN;
            case FETCH_CHANGES -> FETCH_CHANGES;
            case FETCH_TEXT -> FETCH_TEXT;
            case RECORD_INTENT -> RECORD_INTENT;
            case RECORD_OUTCOME -> RECORD_OUTCOME;
            case RESOLVE_KEY -> RESOLVE_KEY;
            case EVIDENCE_REPORT -> EVIDENCE_REPORT;
            case BODY_NOT_SET -> UNKNOWN;
        };
    }
}
