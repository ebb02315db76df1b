package org.dahliapass.operator;

/** A command line that is wrong; the message says how to mend it. */
final class UsageException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    UsageException(String message) {
        super(message);
    }
}
