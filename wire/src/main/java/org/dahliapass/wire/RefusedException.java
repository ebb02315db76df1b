package org.dahliapass.wire;

import org.dahliapass.kernel.OperationException;
import org.dahliapass.wire.message.ReplyStatus;

/** Thrown when a peer replies to a request with a status other than OK. */
public final class RefusedException extends OperationException {
    private static final long serialVersionUID = 1L;

    private final ReplyStatus mStatus;

    /** Creates the exception. */
    public RefusedException(String operation, String peer, ReplyStatus status, String detail) {
        super(
                operation,
                peer,
                "The peer refused the request with status " + status + ". " + detail);
        mStatus = status;
    }

    /** Returns the status of the reply. */
    public ReplyStatus status() {
        return mStatus;
    }
}
