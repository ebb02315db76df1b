package org.dahliapass.standins;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import org.dahliapass.model.Endpoint;

/** Creates configuration and settings texts for a gateway VM on the loopback address. */
public final class GatewayFixtures {
    private static final int PORT_COUNT = 5;

    private GatewayFixtures() {}

    /**
     * Returns a configuration with a safe and an unsafe route for host a.example.
     *
     * @param reads the path prefix of the safe route
     */
    public static String configuration(long version, String reads) {
        return "{\"version\":"
                + version
                + ",\"routes\":{\"columns\":[\"name\",\"host\",\"prefix\",\"kind\",\"timeout_s\","
                + "\"target_latency_s\",\"priority\",\"traffic_split\",\"max_attempts\","
                + "\"service\"],\"rows\":[[\"reads\",\"a.example\",\""
                + reads
                + "\",\"safe\",1.5,0.8,2,null,2,\"x\"],[\"locks\",\"a.example\",\"/l/\",\"unsafe\","
                + "1.2,0.8,1,null,2,\"x\"]]},\"services\":{\"columns\":[\"name\",\"health_path\","
                + "\"conn_limit\"],\"rows\":[[\"x\",\"/health\",360]]},\"limits\":{"
                + "\"max_header_bytes\":16384,\"max_body_bytes\":1000,\"header_timeout_s\":3,"
                + "\"idle_timeout_s\":15}}";
    }

    /**
     * Returns the configuration with customers, whose keys are required.
     *
     * @param customers rows of name, list of keys, priority, requests per second and burst, as JSON
     */
    public static String configurationWithCustomers(long version, String customers) {
        String configuration = configuration(version, "/r/");
        return configuration.substring(0, configuration.length() - 1)
                + ",\"tenants\":{\"columns\":[\"name\",\"api_keys\",\"priority\",\"rate_per_s\","
                + "\"burst\"],\"rows\":"
                + customers
                + "}}";
    }

    /** Returns settings with free local ports. */
    public static String settings(Endpoint store) {
        List<Integer> ports = freePorts();
        return String.format(
                "[vm]%nname = vm%navailability-zone = zone-a%nregion = r%n"
                        + "callers = 127.0.0.1:%d%nasks = 127.0.0.1:%d%nreadiness = 127.0.0.1:%d%n"
                        + "peers = 127.0.0.1:%d%ncontrol = 127.0.0.1:%d%nstop-grace-seconds = 3.5%n"
                        + "[store]%naddress = %s%n[policy]%nask-time-to-live = 1500ms%n"
                        + "vms-per-zone = 2%nfloor = 50%%%nretries = 50%%%n"
                        + "false-ejections-per-hour = 0.01%nfailing-share = 30%%%nslow-factor = 3%n"
                        + "return-after = 2s%nslow-start = 2s%n",
                ports.get(0), ports.get(1), ports.get(2), ports.get(3), ports.get(4), store);
    }

    private static List<Integer> freePorts() {
        List<ServerSocket> sockets = new ArrayList<>();
        try {
            for (int number = 0; number < PORT_COUNT; number++) {
                sockets.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
            }
            List<Integer> ports = sockets.stream().map(ServerSocket::getLocalPort).toList();
            for (ServerSocket socket : sockets) {
                socket.close();
            }
            return ports;
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }
}
