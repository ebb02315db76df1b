package org.dahliapass.gateway;

import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dahliapass.http.ServerCall;
import org.dahliapass.http.ServerResponse;
import org.dahliapass.kernel.ControlLoop;
import org.dahliapass.platform.RangePage;
import org.dahliapass.platform.StoreCalls;
import org.dahliapass.platform.StoreRevision;
import org.dahliapass.platform.WatchResponse;

/**
 * Serves the mirror of the store to other VMs through the read calls of the store.
 *
 * <p>A few VMs watch the store on behalf of the whole fleet, and a VM that cannot reach the store
 * still receives changes. Changes are served only while this VM watches the store directly and
 * receives responses from it; otherwise two VMs could follow each other and never notice a missing
 * update. A snapshot is served at any time, because an old configuration is better than none for a
 * starting VM. Pending calls are confined to the control thread.
 */
final class MirrorService {
    /** The delay of an empty response while this VM misses changes. */
    private static final Duration MISSED_CHANGES_DELAY = Duration.ofMillis(100);

    private final ControlLoop mLoop;
    private final ChangeFeed mFeed;
    private final LoadReporter mLoadReporter;
    private final EventLog mLog;
    private final List<PendingWatch> mPendingWatches = new ArrayList<>();

    /**
     * A watch that waits for changes.
     *
     * @param after the position of the follower
     * @param isFromStore whether the follower read its state from the store
     */
    private record PendingWatch(StoreRevision after, boolean isFromStore, ServerCall call) {}

    MirrorService(ControlLoop loop, ChangeFeed feed, LoadReporter load, EventLog log) {
        mLoop = loop;
        mFeed = feed;
        mLoadReporter = load;
        mLog = log;
        feed.addListener(this::completeWatches);
    }

    /** Responds with a snapshot of the mirror. */
    void range(ServerCall call) {
        mLoop.execute(() -> send(call, snapshotResponse()));
    }

    private ServerResponse snapshotResponse() {
        if (!mFeed.mirror().isLoaded()) {
            return unavailable();
        }
        RangePage snapshot = mFeed.mirror().snapshot();
        mLog.write(
                EventLog.Kind.DEPENDENCY,
                "copy_handed_on",
                line ->
                        line.put("epoch", snapshot.revision().epoch())
                                .put("revision", snapshot.revision().number())
                                .put("items", snapshot.items().size()));
        return json(StoreCalls.encode(snapshot));
    }

    /** Responds with the next changes, or with none when the wait of the caller ends. */
    void watch(ServerCall call) {
        QueryStringDecoder query = new QueryStringDecoder(call.head().uri());
        StoreRevision after =
                new StoreRevision(
                        number(query, StoreCalls.EPOCH, StoreRevision.UNKNOWN_EPOCH),
                        number(query, StoreCalls.AFTER, 0));
        boolean isFromStore = query.parameters().containsKey(StoreCalls.FROM_STORE);
        Duration wait = Duration.ofMillis(number(query, StoreCalls.WAIT_MILLIS, 0));
        mLoop.execute(() -> addWatch(new PendingWatch(after, isFromStore, call), wait));
    }

    /** Returns the value of a numeric parameter, or a default if it is missing. */
    private static long number(QueryStringDecoder query, String name, long defaultValue) {
        List<String> values = query.parameters().getOrDefault(name, List.of());
        try {
            return values.isEmpty() ? defaultValue : Long.parseLong(values.get(0));
        } catch (NumberFormatException foreign) {
            // An unknown client; revision 0 makes it read a new snapshot.
            return 0;
        }
    }

    private void addWatch(PendingWatch pending, Duration wait) {
        mPendingWatches.add(pending);
        completeWatches();
        if (!mPendingWatches.contains(pending)) {
            return;
        }
        mLoop.schedule(wait, () -> onWatchTimeout(pending));
    }

    private void onWatchTimeout(PendingWatch pending) {
        if (mFeed.status().hasMissedChanges() && mPendingWatches.contains(pending)) {
            // This VM is about to read what it missed, or to lose the store.
            mLoop.schedule(MISSED_CHANGES_DELAY, () -> onWatchTimeout(pending));
            return;
        }
        if (!mPendingWatches.remove(pending)) {
            return;
        }
        if (!mFeed.isCurrent()) {
            // Guards against a VM that was frozen and confirms its state before it reads changes.
            send(pending.call(), unavailable());
            return;
        }
        StoreRevision current = mFeed.mirror().revision();
        if (pending.after().number() > current.number()) {
            // Guards against a follower that waits for numbers that the store counts again.
            send(pending.call(), withStoreState(ServerResponse.of(HttpResponseStatus.GONE)));
            return;
        }
        send(
                pending.call(),
                json(
                        StoreCalls.encode(
                                new WatchResponse.Changes(
                                        List.of(), current.withNumber(pending.after().number())))));
    }

    private void completeWatches() {
        mPendingWatches.removeIf(
                pending -> {
                    Optional<ServerResponse> response = responseTo(pending);
                    response.ifPresent(ready -> send(pending.call(), ready));
                    return response.isPresent();
                });
    }

    private Optional<ServerResponse> responseTo(PendingWatch pending) {
        StoreMirror mirror = mFeed.mirror();
        boolean isBehind = pending.after().epoch() > mirror.revision().epoch();
        if (!mFeed.isCurrent() || isBehind) {
            return Optional.of(unavailable());
        }
        Optional<WatchResponse> changes =
                mirror.changesAfter(pending.after(), pending.isFromStore());
        return changes.map(
                watchResponse ->
                        watchResponse instanceof WatchResponse.Changes newer
                                ? json(StoreCalls.encode(newer))
                                : withStoreState(ServerResponse.of(HttpResponseStatus.GONE)));
    }

    private ServerResponse withStoreState(ServerResponse response) {
        long epoch = mFeed.mirror().revision().epoch();
        if (epoch != StoreRevision.UNKNOWN_EPOCH) {
            response.headers().set(StoreCalls.EPOCH_HEADER, Long.toString(epoch));
        }
        mFeed.answerAges()
                .ifPresent(
                        ages -> response.headers().set(StoreCalls.ANSWERED_HEADER, ages.encode()));
        return response;
    }

    private static void send(ServerCall call, ServerResponse response) {
        call.loop().execute(() -> call.respond(response));
    }

    private ServerResponse unavailable() {
        return withStoreState(ServerResponse.of(HttpResponseStatus.SERVICE_UNAVAILABLE));
    }

    private ServerResponse json(String body) {
        mLoadReporter.onMirrorSent(body.length());
        return withStoreState(ServerResponse.json(HttpResponseStatus.OK, body));
    }
}
