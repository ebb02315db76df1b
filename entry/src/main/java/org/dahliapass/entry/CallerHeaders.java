package org.dahliapass.entry;

import com.linecorp.armeria.common.HttpHeaderNames;
import io.netty.util.AsciiString;

/** The HTTP headers exchanged between callers, VMs and targets. */
public final class CallerHeaders {
    /** The id of a request, which also appears in refusals and explanations. */
    public static final AsciiString REQUEST_ID = HttpHeaderNames.of("x-request-id");

    /** Whether the request ran: ran, not-run, running or unknown. */
    public static final AsciiString OUTCOME = HttpHeaderNames.of("x-outcome");

    /** A token to prefix the caller's next idempotency key with. */
    public static final AsciiString OPERATION_TOKEN = HttpHeaderNames.of("x-operation-token");

    /** The key of an at-most-once operation. */
    public static final AsciiString IDEMPOTENCY_KEY = HttpHeaderNames.of("idempotency-key");

    /** The remaining time for a response in milliseconds, sent to targets and read from callers. */
    public static final AsciiString REQUEST_TIMEOUT = HttpHeaderNames.of("x-request-timeout-ms");

    /** Set by a target that did not process the request. */
    public static final AsciiString NOT_PROCESSED = HttpHeaderNames.of("x-not-processed");

    /** Set by a target that is draining. */
    public static final AsciiString DRAINING = HttpHeaderNames.of("x-draining");

    /** The name of the VM that forwarded a request; a request is forwarded at most once. */
    public static final AsciiString FORWARDED_BY = HttpHeaderNames.of("x-forwarded-by-vm");

    /** Set on the replayed result of an at-most-once operation: whole or head. */
    public static final AsciiString REPLAYED = HttpHeaderNames.of("x-replayed");

    /** The identity, including the incarnation, of the VM that responded. */
    public static final AsciiString ANSWERED_BY = HttpHeaderNames.of("x-answered-by-vm");

    private CallerHeaders() {}
}
