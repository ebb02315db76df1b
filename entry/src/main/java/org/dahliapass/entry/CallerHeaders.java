package org.dahliapass.entry;

import com.linecorp.armeria.common.HttpHeaderNames;
import io.netty.util.AsciiString;

/** The headers that callers, VMs and targets exchange. */
public final class CallerHeaders {
    /** Identifies one request in answers, refusals and explanations. */
    public static final AsciiString REQUEST_ID = HttpHeaderNames.of("x-request-id");

    /** What a caller may conclude about the request: not-run, running or unknown. */
    public static final AsciiString OUTCOME = HttpHeaderNames.of("x-outcome");

    /** A token with which the caller's next key begins. */
    public static final AsciiString OPERATION_TOKEN = HttpHeaderNames.of("x-operation-token");

    /** The key of a guarded operation. */
    public static final AsciiString IDEMPOTENCY_KEY = HttpHeaderNames.of("idempotency-key");

    /** The time left for an answer, in milliseconds; sent to targets, honoured from callers. */
    public static final AsciiString REQUEST_TIMEOUT = HttpHeaderNames.of("x-request-timeout-ms");

    /** A target's word that it did not process the request. */
    public static final AsciiString NOT_PROCESSED = HttpHeaderNames.of("x-not-processed");

    /** A target's word that it is leaving. */
    public static final AsciiString DRAINING = HttpHeaderNames.of("x-draining");

    /** The VM that forwarded a request; a request is forwarded once. */
    public static final AsciiString FORWARDED_BY = HttpHeaderNames.of("x-forwarded-by-vm");

    /** Set when the answer to a guarded request is a recorded one. */
    public static final AsciiString REPLAYED = HttpHeaderNames.of("x-replayed");

    /** The life of the VM that gave the answer. */
    public static final AsciiString ANSWERED_BY = HttpHeaderNames.of("x-answered-by-vm");

    private CallerHeaders() {}
}
