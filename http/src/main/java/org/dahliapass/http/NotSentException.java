package org.dahliapass.http;

import java.io.IOException;

/** No byte of a request was sent, so that it has not run and never will. */
public final class NotSentException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Names what kept it from being sent. */
    public NotSentException(String message, Throwable cause) {
        super(message, cause);
    }
}
