package org.dahliapass.http;

import java.io.IOException;

/** Thrown when no byte of a request was sent, so the server never processes it. */
public final class NotSentException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates the exception with the reason why the request was not sent. */
    public NotSentException(String message, Throwable cause) {
        super(message, cause);
    }
}
