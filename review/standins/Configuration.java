import java.util.Set;

/** The operator's configuration of the cases. */
final class Configuration {
    /** The statuses that promise that a request has not run. */
    static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

    private Configuration() {}

    /** Returns a configuration with one service and a safe, an unsafe and a download route. */
    static String of(String host, String service, double safeTimeout, double unsafeTimeout) {
        return "{\"version\":7,\"routes\":{\"columns\":[\"name\",\"host\",\"prefix\",\"kind\","
                + "\"timeout_s\",\"target_latency_s\",\"priority\",\"max_attempts\",\"service\"],"
                + "\"rows\":[[\"reads\",\"" + host + "\",\"/read/\",\"safe\"," + safeTimeout
                + ",1.5,2,2,\"" + service + "\"],[\"writes\",\"" + host
                + "\",\"/write/\",\"unsafe\"," + unsafeTimeout + ",1.5,1,2,\"" + service
                + "\"],[\"exports\",\"" + host + "\",\"/export/\",\"download\"," + safeTimeout
                + ",1.0,2,2,\"" + service + "\"]]},\"services\":{\"columns\":[\"name\","
                + "\"health_path\",\"conn_limit\"],\"rows\":[[\"" + service
                + "\",\"/health\",330]]},\"limits\":{\"max_header_bytes\":16384,"
                + "\"max_body_bytes\":65536,\"header_timeout_s\":3,\"idle_timeout_s\":15}}";
    }
}
