/**
 * HTTP/1.1 on one event loop, over Netty's codecs: servers, clients, and no policy.
 *
 * <p>Everything of a connection runs on its event loop. What a request means, where it goes and
 * when it is refused is decided by those who use this package.
 */
package org.dahliapass.http;
