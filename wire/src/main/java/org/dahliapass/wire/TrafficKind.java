package org.dahliapass.wire;

import org.dahliapass.wire.message.Gossip;
import org.dahliapass.wire.message.PeerRequest;

/** The kinds of messages that are counted separately. */
public enum TrafficKind {
    /** Asks for an answer. */
    PING,
    /** Answers a ping. */
    ACK,
    /** Asks for a ping of a third VM. */
    PING_REQUEST,
    /** Passes on an answer. */
    INDIRECT_ACK,
    /** News that wants no answer. */
    RUMOR,
    /** Request for the member list. */
    JOIN,
    /** Request for configuration changes. */
    FETCH_CHANGES,
    /** Request for the text of a template. */
    FETCH_TEXT,
    /** A home's intent to dispatch a key. */
    RECORD_INTENT,
    /** The outcome of a key. */
    RECORD_OUTCOME,
    /** Question for the outcome of a key. */
    RESOLVE_KEY,
    /** What a VM saw of its targets. */
    EVIDENCE_REPORT,
    /** A reply to any request. */
    REPLY,
    /** What a newer release sends and this one doesn't know. */
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
