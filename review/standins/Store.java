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
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A sound stand-in of the platform's metadata store (kv-range, kv-watch, kv-txn, leases). */
final class Store {
    private static final Pattern PUT =
            Pattern.compile(
                    "\\{\\s*\"key\"\\s*:\\s*\"([^\"]*)\"\\s*,\\s*\"value\"\\s*:\\s*\"([^\"]*)\"\\s*,"
                            + "\\s*\"lease\"\\s*:\\s*(\\d+)\\s*\\}");
    private static final Pattern TIME_TO_LIVE = Pattern.compile("ttl_s_time\"\\s*:\\s*([0-9.]+)");

    private record Item(String key, String value, long revision, long created, long lease) {}

    private record Event(String key, long revision, Item item) {}

    private static final class Lease {
        long mTimeToLive;
        long mEnd;
    }

    private final TreeMap<String, Item> mItems = new TreeMap<>();
    private final List<Event> mEvents = new ArrayList<>();
    private final Map<Long, Lease> mLeases = new HashMap<>();
    private long mRevision = 100;
    private long mLastLease;
    private final HttpServer mServer;

    Store() throws IOException {
        mServer = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
        mServer.setExecutor(
                Executors.newCachedThreadPool(
                        task -> {
                            Thread thread = new Thread(task, "store");
                            thread.setDaemon(true);
                            return thread;
                        }));
        mServer.createContext("/", this::handle);
        mServer.start();
        Thread ticker =
                new Thread(
                        () -> {
                            while (true) {
                                Clock.sleep(50);
                                expire();
                            }
                        });
        ticker.setDaemon(true);
        ticker.start();
    }

    String address() {
        return "127.0.0.1:" + mServer.getAddress().getPort();
    }

    /** Writes a document of the operator or of a server. */
    synchronized void put(String key, String document) {
        write(key, Base64.getEncoder().encodeToString(document.getBytes(StandardCharsets.UTF_8)), 0);
    }

    /** Removes keys in one transaction. */
    synchronized void remove(List<String> keys) {
        for (String key : keys) {
            delete(key);
        }
    }

    private void write(String key, String value, long lease) {
        mRevision++;
        Item before = mItems.get(key);
        Item item =
                new Item(key, value, mRevision, before == null ? mRevision : before.created(), lease);
        mItems.put(key, item);
        mEvents.add(new Event(key, mRevision, item));
        notifyAll();
    }

    private void delete(String key) {
        if (mItems.remove(key) != null) {
            mRevision++;
            mEvents.add(new Event(key, mRevision, null));
            notifyAll();
        }
    }

    private synchronized void expire() {
        long now = Clock.millis();
        List<Long> ended = new ArrayList<>();
        mLeases.forEach(
                (id, lease) -> {
                    if (lease.mEnd <= now) {
                        ended.add(id);
                    }
                });
        ended.forEach(this::endLease);
    }

    private boolean endLease(long id) {
        if (mLeases.remove(id) == null) {
            return false;
        }
        for (Item item : List.copyOf(mItems.values())) {
            if (item.lease() == id) {
                delete(item.key());
            }
        }
        return true;
    }

    private void handle(HttpExchange call) throws IOException {
        try {
            String body =
                    new String(call.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            Map<String, String> query = query(call.getRequestURI().getRawQuery());
            String path = call.getRequestURI().getPath();
            if (path.equals("/api/kv-range")) {
                reply(call, 200, range(query.getOrDefault("prefix", ""), query.getOrDefault("after", "")));
            } else if (path.equals("/api/kv-key")) {
                reply(call, 404, "{}");
            } else if (path.equals("/api/kv-watch")) {
                watch(call, query);
            } else if (path.equals("/api/kv-txn")) {
                transact(call, body);
            } else if (path.equals("/api/kv-lease")) {
                grant(call, body);
            } else if (path.startsWith("/api/kv-keep/")) {
                reply(call, renew(lastNumber(path)) ? 200 : 404, "{}");
            } else if (path.startsWith("/api/kv-lease-end/")) {
                boolean known;
                synchronized (this) {
                    known = endLease(lastNumber(path));
                }
                reply(call, known ? 200 : 404, "{}");
            } else {
                reply(call, 404, "{}");
            }
        } catch (RuntimeException failure) {
            failure.printStackTrace();
            reply(call, 400, "{}");
        }
    }

    private static long lastNumber(String path) {
        return Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
    }

    private static Map<String, String> query(String text) {
        Map<String, String> query = new HashMap<>();
        for (String pair : (text == null ? "" : text).split("&")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                query.put(
                        pair.substring(0, equals),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    private synchronized String range(String prefix, String after) {
        StringBuilder items = new StringBuilder();
        for (Item item : mItems.values()) {
            if (item.key().startsWith(prefix) && item.key().compareTo(after) > 0) {
                items.append(items.length() == 0 ? "" : ",").append(json(item));
            }
        }
        return "{\"items\":[" + items + "],\"has_more\":false,\"as_of\":" + mRevision + "}";
    }

    private static String json(Item item) {
        return "{\"key\":\"" + item.key() + "\",\"value\":\"" + item.value() + "\",\"revision\":"
                + item.revision() + ",\"created\":" + item.created() + ",\"lease\":" + item.lease() + "}";
    }

    private void watch(HttpExchange call, Map<String, String> query) throws IOException {
        String prefix = query.getOrDefault("prefix", "");
        long after = Long.parseLong(query.get("after"));
        long end = Clock.millis() + Long.parseLong(query.get("wait_ms"));
        String answer;
        synchronized (this) {
            String events = events(prefix, after);
            long now = Clock.millis();
            while (events.isEmpty() && now < end) {
                try {
                    wait(end - now);
                } catch (InterruptedException interrupted) {
                    return;
                }
                events = events(prefix, after);
                now = Clock.millis();
            }
            answer = "{\"events\":[" + events + "],\"as_of\":" + mRevision + "}";
        }
        reply(call, 200, answer);
    }

    private String events(String prefix, long after) {
        StringBuilder text = new StringBuilder();
        for (int index = mEvents.size() - 1; index >= 0; index--) {
            Event event = mEvents.get(index);
            if (event.revision() <= after) {
                break;
            }
            if (event.key().startsWith(prefix)) {
                String json =
                        event.item() != null
                                ? json(event.item())
                                : "{\"key\":\"" + event.key() + "\",\"revision\":"
                                        + event.revision() + ",\"deleted\":true}";
                text.insert(0, text.length() == 0 ? json : json + ",");
            }
        }
        return text.toString();
    }

    private void transact(HttpExchange call, String body) throws IOException {
        long revision;
        synchronized (this) {
            Matcher put = PUT.matcher(body);
            while (put.find()) {
                long lease = Long.parseLong(put.group(3));
                if (lease != 0 && !mLeases.containsKey(lease)) {
                    reply(call, 404, "{}");
                    return;
                }
                write(put.group(1), put.group(2), lease);
            }
            revision = mRevision;
        }
        reply(call, 200, "{\"revision\":" + revision + "}");
    }

    private void grant(HttpExchange call, String body) throws IOException {
        Matcher seconds = TIME_TO_LIVE.matcher(body);
        if (!seconds.find()) {
            reply(call, 400, "{}");
            return;
        }
        long id;
        synchronized (this) {
            Lease lease = new Lease();
            lease.mTimeToLive = Math.round(Double.parseDouble(seconds.group(1)) * 1000);
            lease.mEnd = Clock.millis() + lease.mTimeToLive;
            id = ++mLastLease;
            mLeases.put(id, lease);
        }
        reply(call, 200, "{\"lease\":" + id + ",\"ttl_s_time\":" + seconds.group(1) + "}");
    }

    private synchronized boolean renew(long id) {
        Lease lease = mLeases.get(id);
        if (lease == null) {
            return false;
        }
        lease.mEnd = Clock.millis() + lease.mTimeToLive;
        return true;
    }

    private static void reply(HttpExchange call, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        call.getResponseHeaders().set("Content-Type", "application/json");
        call.getResponseHeaders().set("Store-Era", "1");
        call.sendResponseHeaders(status, bytes.length);
        call.getResponseBody().write(bytes);
        call.close();
    }
}
