package org.dahliapass.http;

import io.netty.buffer.ByteBuf;

/**
 * A server's answer, whole.
 *
 * @param status its status
 * @param body its body, on the heap, so that it needs no release
 */
public record ClientResponse(int status, ByteBuf body) {}
