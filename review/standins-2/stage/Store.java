package stage;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/**
 * The platform's metadata store as PROTOCOL.md tells it: linearizable, nothing is lost, no limits on
 * calls.
 */
public final class Store {
    private record Item(String value, long revision, long created, long lease) {}

    /** The platform's {@code history_s}. */
    private static final long HISTORY_MILLIS = 20_000;

    private record Event(String key, String json, long revision, long millis) {}

    private static final class Lease {
        long ttlMillis;
        long endMillis;
        int renewals;
    }

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> events = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final HttpServer http;
    private long revision = 100;
    private long nextLease = 1;

    /** The newest revision whose event is no longer kept. */
    private long discarded = 100;

    /** Starts the store on a free loopback port. */
    public Store() throws IOException {
        http = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 512);
        http.setExecutor(
                Executors.newCachedThreadPool(
                        task -> {
                            Thread thread = new Thread(task, "store");
                            thread.setDaemon(true);
                            return thread;
                        }));
        http.createContext("/", this::handle);
        http.start();
        Thread expiry = new Thread(this::expire, "leases");
        expiry.setDaemon(true);
        expiry.start();
    }

    public String address() {
        return "127.0.0.1:" + http.getAddress().getPort();
    }

    /** Writes a key as the operator or a server does; returns at the acknowledgement. */
    public synchronized void put(String key, String value) {
        put(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
    }

    private void put(String key, String encoded, long lease) {
        revision++;
        Item known = items.get(key);
        Item item = new Item(encoded, revision, known == null ? revision : known.created, lease);
        items.put(key, item);
        add(key, json(key, item));
    }

    public synchronized void remove(String key) {
        if (items.remove(key) == null) {
            return;
        }
        revision++;
        add(
                key,
                "{\"key\":" + Json.quote(key) + ",\"revision\":" + revision
                        + ",\"deleted\":true}");
    }

    private void add(String key, String json) {
        long now = System.nanoTime() / 1_000_000;
        events.add(new Event(key, json, revision, now));
        while (events.get(0).millis < now - HISTORY_MILLIS) {
            discarded = events.remove(0).revision;
        }
        notifyAll();
    }

    /** Returns how often the lease of each key with a prefix was renewed, by key. */
    public synchronized Map<String, Integer> renewals(String prefix) {
        Map<String, Integer> renewals = new HashMap<>();
        items.forEach(
                (key, item) -> {
                    if (key.startsWith(prefix) && leases.containsKey(item.lease)) {
                        renewals.put(key, leases.get(item.lease).renewals);
                    }
                });
        return renewals;
    }

    /** Returns the keys with a prefix. */
    public synchronized List<String> keys(String prefix) {
        return items.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
    }

    private static String json(String key, Item item) {
        return "{\"key\":" + Json.quote(key) + ",\"value\":\"" + item.value + "\",\"revision\":"
                + item.revision + ",\"created\":" + item.created + ",\"lease\":" + item.lease + "}";
    }

    private void expire() {
        while (true) {
            synchronized (this) {
                long now = System.nanoTime() / 1_000_000;
                List<Long> ended =
                        leases.entrySet().stream()
                                .filter(entry -> entry.getValue().endMillis <= now)
                                .map(Map.Entry::getKey)
                                .toList();
                ended.forEach(this::end);
            }
            Stage.sleep(50);
        }
    }

    private synchronized boolean end(long lease) {
        if (leases.remove(lease) == null) {
            return false;
        }
        items.entrySet().stream()
                .filter(entry -> entry.getValue().lease == lease)
                .map(Map.Entry::getKey)
                .toList()
                .forEach(this::remove);
        return true;
    }

    private void handle(HttpExchange call) throws IOException {
        try {
            String body = new String(call.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            String path = call.getRequestURI().getPath();
            Map<String, String> query = query(call.getRequestURI().getRawQuery());
            switch (path) {
                case "/api/kv-key" -> key(call, query.get("key"));
                case "/api/kv-range" -> range(call, query);
                case "/api/kv-watch" -> watch(call, query);
                case "/api/kv-txn" -> transaction(call, (Map<?, ?>) Json.parse(body));
                case "/api/kv-lease" -> grant(call, (Map<?, ?>) Json.parse(body));
                default -> lease(call, path);
            }
        } catch (RuntimeException failure) {
            respond(call, 400, "{}");
        }
    }

    private void lease(HttpExchange call, String path) throws IOException {
        long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
        boolean known;
        if (path.startsWith("/api/kv-keep/")) {
            synchronized (this) {
                Lease lease = leases.get(id);
                known = lease != null;
                if (known) {
                    lease.renewals++;
                    lease.endMillis = System.nanoTime() / 1_000_000 + lease.ttlMillis;
                }
            }
        } else {
            known = end(id);
        }
        respond(call, known ? 200 : 404, "{}");
    }

    private void grant(HttpExchange call, Map<?, ?> body) throws IOException {
        double seconds = Math.max(1, Math.min(600, (Double) body.get("ttl_s_time")));
        long id;
        synchronized (this) {
            Lease lease = new Lease();
            lease.ttlMillis = (long) (seconds * 1000);
            lease.endMillis = System.nanoTime() / 1_000_000 + lease.ttlMillis;
            id = nextLease++;
            leases.put(id, lease);
        }
        respond(call, 200, "{\"lease\":" + id + ",\"ttl_s_time\":" + seconds + "}");
    }

    private void key(HttpExchange call, String key) throws IOException {
        Item item;
        synchronized (this) {
            item = items.get(key);
        }
        respond(call, item == null ? 404 : 200, item == null ? "{}" : json(key, item));
    }

    private void range(HttpExchange call, Map<String, String> query) throws IOException {
        StringBuilder out = new StringBuilder("{\"items\":[");
        synchronized (this) {
            String prefix = query.getOrDefault("prefix", "");
            String after = query.getOrDefault("after", "");
            int count = 0;
            boolean more = false;
            for (Map.Entry<String, Item> entry : items.tailMap(after, false).entrySet()) {
                if (!entry.getKey().startsWith(prefix)) {
                    continue;
                }
                if (count > 0 && (count == 500 || out.length() > 1_000_000)) {
                    more = true;
                    break;
                }
                out.append(count++ == 0 ? "" : ",").append(json(entry.getKey(), entry.getValue()));
            }
            out.append("],\"has_more\":" + more + ",\"as_of\":" + revision + "}");
        }
        respond(call, 200, out.toString());
    }

    private void watch(HttpExchange call, Map<String, String> query) throws IOException {
        String prefix = query.getOrDefault("prefix", "");
        long after = Long.parseLong(query.get("after"));
        long end =
                System.nanoTime() / 1_000_000
                        + Math.min(30_000, Long.parseLong(query.getOrDefault("wait_ms", "0")));
        String out = "";
        synchronized (this) {
            List<Event> found;
            while (after >= discarded) {
                found =
                        events.stream()
                                .filter(e -> e.revision > after && e.key.startsWith(prefix))
                                .toList();
                long left = end - System.nanoTime() / 1_000_000;
                if (!found.isEmpty() || left <= 0) {
                    break;
                }
                try {
                    wait(left);
                } catch (InterruptedException e) {
                    break;
                }
            }
            found = events.stream().filter(e -> e.revision > after && e.key.startsWith(prefix)).toList();
            out =
                    "{\"events\":["
                            + String.join(",", found.stream().map(Event::json).toList())
                            + "],\"as_of\":"
                            + revision
                            + "}";
            if (after < discarded) {
                out = "";
            }
        }
        respond(call, out.isEmpty() ? 410 : 200, out.isEmpty() ? "{}" : out);
    }

    private void transaction(HttpExchange call, Map<?, ?> body) throws IOException {
        int status = 200;
        String out;
        synchronized (this) {
            for (Object row : list(body.get("expect"))) {
                Map<?, ?> expect = (Map<?, ?>) row;
                Item known = items.get((String) expect.get("key"));
                long found = known == null ? 0 : known.revision;
                if (found != ((Double) expect.get("revision")).longValue()) {
                    status = 412;
                }
            }
            List<?> puts = list(body.get("puts"));
            for (Object row : puts) {
                Map<?, ?> put = (Map<?, ?>) row;
                String key = (String) put.get("key");
                if (key.startsWith("op/") || key.startsWith("servers/")) {
                    status = 403;
                }
                if (status == 200 && leaseOf(put) != 0 && !leases.containsKey(leaseOf(put))) {
                    status = 404;
                }
            }
            if (status == 200) {
                for (Object row : puts) {
                    Map<?, ?> put = (Map<?, ?>) row;
                    put((String) put.get("key"), (String) put.get("value"), leaseOf(put));
                }
                list(body.get("remove")).forEach(key -> remove((String) key));
            }
            out = status == 412 ? "{\"items\":[]}" : "{\"revision\":" + revision + "}";
        }
        respond(call, status, out);
    }

    private static long leaseOf(Map<?, ?> put) {
        return put.get("lease") == null ? 0 : ((Double) put.get("lease")).longValue();
    }

    private static List<?> list(Object value) {
        return value == null ? List.of() : (List<?>) value;
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> query = new HashMap<>();
        if (raw != null) {
            for (String part : raw.split("&")) {
                int at = part.indexOf('=');
                query.put(
                        part.substring(0, at),
                        URLDecoder.decode(part.substring(at + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    private static void respond(HttpExchange call, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        call.getResponseHeaders().set("Content-Type", "application/json");
        call.sendResponseHeaders(status, bytes.length);
        call.getResponseBody().write(bytes);
        call.close();
    }
}
