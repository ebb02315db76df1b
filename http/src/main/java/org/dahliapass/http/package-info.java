/**
 * An HTTP/1.1 server and client on a single event loop, based on Netty's codecs.
 *
 * <p>All code of a connection runs on its event loop. Routing, authorization and other policies are
 * left to the users of this package.
 */
package org.dahliapass.http;
