package org.dahliapass.wire;

import org.dahliapass.kernel.OperationException;
import org.dahliapass.wire.message.ReplyStatus;

/** A request that the peer answered by a status other than OK. */
public final class RefusedException extends OperationException {
    private static final long serialVersionUID = 1L;

    private final ReplyStatus mStatus;

    /** Creates the failure. */
    public RefusedException(String step, String peer, ReplyStatus status, String detail) {
        super(step, peer, "The peer refused with " + status + ". " + detail);
        mStatus = status;
    }

    /** Returns the peer's status. */
    public ReplyStatus status() {
        return mStatus;
    }
}
