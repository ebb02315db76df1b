package org.dahliapass.wire;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import org.dahliapass.kernel.OperationException;
import org.dahliapass.model.Endpoint;

/** Translates addresses by IP number, without asking a name service. */
final class Addresses {
    private Addresses() {}

    static InetSocketAddress toSocketAddress(Endpoint endpoint) {
        byte[] number = NetUtil.createByteArrayFromIpAddressString(endpoint.host());
        if (number == null) {
            throw notAnAddress(endpoint, null);
        }
        try {
            return new InetSocketAddress(InetAddress.getByAddress(number), endpoint.port());
        } catch (UnknownHostException failure) {
            throw notAnAddress(endpoint, failure);
        }
    }

    static Endpoint toEndpoint(InetSocketAddress address) {
        return new Endpoint(address.getAddress().getHostAddress(), address.getPort());
    }

    private static OperationException notAnAddress(Endpoint endpoint, Throwable cause) {
        return new OperationException(
                "read address",
                endpoint.toString(),
                "The host isn't an IP number. Peers are named by IP number.",
                cause);
    }
}
