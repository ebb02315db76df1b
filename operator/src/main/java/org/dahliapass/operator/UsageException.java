package org.dahliapass.operator;

/** Thrown for an invalid command line; the message names the expected usage. */
final class UsageException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    UsageException(String message) {
        super(message);
    }
}
