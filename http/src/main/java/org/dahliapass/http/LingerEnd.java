package org.dahliapass.http;

/** How a connection ended whose last response was sent. */
public enum LingerEnd {
    /** The client has closed it, usually after it has read the whole response. */
    CLIENT_CLOSED,
    /** The client has not closed it in time. */
    TIMED_OUT,
    /** The client has sent too many bytes. */
    TOO_MANY_BYTES,
    /** It was closed to make room for other connections. */
    NO_ROOM,
    /** The server has stopped. */
    SERVER_STOPPED
}
