package org.dahliapass.http;

import io.netty.buffer.ByteBuf;

/**
 * A complete response received from a server.
 *
 * @param status the status code
 * @param body the body, in a heap buffer that needs no release
 */
public record ClientResponse(int status, ByteBuf body) {}
