/**
 * An HTTP/1.1 server and client on a single event loop, based on Netty's codecs.
 *
 * <p>Each connection is processed on its event loop. Routing, authorization and other policies are
 * left to the users of this package.
 */
package org.dahliapass.http;
