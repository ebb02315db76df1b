package org.dahliapass.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * A complete response received from a server.
 *
 * @param status the status code
 * @param headers the headers
 * @param body the body, in a heap buffer that needs no release
 */
public record ClientResponse(int status, HttpHeaders headers, ByteBuf body) {}
