package org.dahliapass.kernel;

/** A failure that tells at which step and at which peer it arose. */
public class OperationException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final String mStep;
    private final String mPeer;

    /**
     * Creates a failure.
     *
     * @param step what was being done, for instance "read head"
     * @param peer whom it was done with: an address or a name, "self" if nobody else
     * @param message what is wrong and how to mend it
     */
    public OperationException(String step, String peer, String message) {
        this(step, peer, message, null);
    }

    /** Creates a failure with the failure that led to it. */
    public OperationException(String step, String peer, String message, Throwable cause) {
        super(step + " at " + peer + ": " + message, cause);
        mStep = step;
        mPeer = peer;
    }

    /** Returns what was being done. */
    public String operation() {
        return mStep;
    }

    /** Returns whom it was done with. */
    public String peer() {
        return mPeer;
    }
}
