package org.dahliapass.wire;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import org.dahliapass.kernel.OperationException;
import org.dahliapass.model.Endpoint;

/** Converts between endpoints and socket addresses without DNS lookups. */
final class Addresses {
    private Addresses() {}

    static InetSocketAddress toSocketAddress(Endpoint endpoint) {
        byte[] bytes = NetUtil.createByteArrayFromIpAddressString(endpoint.host());
        if (bytes == null) {
            throw notAnAddress(endpoint, null);
        }
        try {
            return new InetSocketAddress(InetAddress.getByAddress(bytes), endpoint.port());
        } catch (UnknownHostException failure) {
            throw notAnAddress(endpoint, failure);
        }
    }

    static Endpoint toEndpoint(InetSocketAddress address) {
        return new Endpoint(address.getAddress().getHostAddress(), address.getPort());
    }

    private static OperationException notAnAddress(Endpoint endpoint, Throwable cause) {
        return new OperationException(
                "parse address",
                endpoint.toString(),
                "The host isn't an IP address; peers are addressed by IP address.",
                cause);
    }
}
