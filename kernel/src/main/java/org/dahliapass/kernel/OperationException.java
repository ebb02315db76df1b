package org.dahliapass.kernel;

/** Thrown when an operation with a peer fails; its message names both. */
public class OperationException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final String mOperation;
    private final String mPeer;

    /**
     * Creates an exception.
     *
     * @param operation the operation that failed, for instance "read head"
     * @param peer the address or name of the peer; "self" if the operation is local
     * @param message the reason and, if possible, a remedy
     */
    public OperationException(String operation, String peer, String message) {
        this(operation, peer, message, null);
    }

    /** Creates an exception with a cause. */
    public OperationException(String operation, String peer, String message, Throwable cause) {
        super(operation + " at " + peer + ": " + message, cause);
        mOperation = operation;
        mPeer = peer;
    }

    /** Returns the operation that failed. */
    public String operation() {
        return mOperation;
    }

    /** Returns the address or name of the peer. */
    public String peer() {
        return mPeer;
    }
}
