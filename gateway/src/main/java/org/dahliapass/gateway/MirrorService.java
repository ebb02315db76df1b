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
import org.dahliapass.platform.StoreCalls;
import org.dahliapass.platform.WatchResponse;

/**
 * Lets other VMs follow the store through this VM, by the store's own reading calls.
 *
 * <p>So a few VMs watch the store for the whole fleet, and a VM that the store turns away still
 * hears of changes. Changes are answered only while this VM itself follows the store directly and
 * hears from it: else two VMs could follow each other and take silence for peace. The copy itself
 * is answered at any time, since an old configuration is better than none for a VM that starts.
 * Waiting calls belong to the control thread.
 */
final class MirrorService {
    private final ControlLoop mLoop;
    private final ChangeFeed mFeed;
    private final LoadReporter mLoad;
    private final List<Waiter> mWaiters = new ArrayList<>();

    private record Waiter(long revision, ServerCall call) {}

    MirrorService(ControlLoop loop, ChangeFeed feed, LoadReporter load) {
        mLoop = loop;
        mFeed = feed;
        mLoad = load;
        feed.addListener(this::answerWaiters);
    }

    /** Answers with the whole copy. */
    void range(ServerCall call) {
        mLoop.execute(() -> answer(call, copy()));
    }

    private ServerResponse copy() {
        if (!mFeed.mirror().isLoaded()) {
            return unavailable();
        }
        return json(StoreCalls.encode(mFeed.mirror().snapshot()));
    }

    /** Answers once there are changes, or none when the caller's wait ends. */
    void watch(ServerCall call) {
        QueryStringDecoder query = new QueryStringDecoder(call.head().uri());
        long revision = number(query, StoreCalls.AFTER);
        Duration wait = Duration.ofMillis(number(query, StoreCalls.WAIT_MILLIS));
        mLoop.execute(() -> await(new Waiter(revision, call), wait));
    }

    /** Returns a parameter's whole number; 0 if it has none. */
    private static long number(QueryStringDecoder query, String name) {
        try {
            return Long.parseLong(query.parameters().getOrDefault(name, List.of("0")).get(0));
        } catch (NumberFormatException foreign) {
            // Not one of this fleet's VMs: it is told to read everything anew.
            return 0;
        }
    }

    private void await(Waiter waiter, Duration wait) {
        mWaiters.add(waiter);
        answerWaiters();
        if (!mWaiters.contains(waiter)) {
            return;
        }
        mLoop.schedule(wait, () -> answerWithoutChanges(waiter));
    }

    private void answerWithoutChanges(Waiter waiter) {
        if (mWaiters.remove(waiter)) {
            WatchResponse.Changes none = new WatchResponse.Changes(List.of(), waiter.revision());
            answer(waiter.call(), json(StoreCalls.encode(none)));
        }
    }

    private void answerWaiters() {
        mWaiters.removeIf(
                waiter -> {
                    Optional<ServerResponse> answer = answerTo(waiter.revision());
                    answer.ifPresent(given -> answer(waiter.call(), given));
                    return answer.isPresent();
                });
    }

    private Optional<ServerResponse> answerTo(long revision) {
        if (!mFeed.isCurrent()) {
            return Optional.of(unavailable());
        }
        Optional<WatchResponse> changes = mFeed.mirror().changesAfter(revision);
        return changes.map(
                found ->
                        found instanceof WatchResponse.Changes known
                                ? json(StoreCalls.encode(known))
                                : ServerResponse.of(HttpResponseStatus.GONE));
    }

    private static void answer(ServerCall call, ServerResponse answer) {
        call.loop().execute(() -> call.respond(answer));
    }

    private static ServerResponse unavailable() {
        return ServerResponse.of(HttpResponseStatus.SERVICE_UNAVAILABLE);
    }

    private ServerResponse json(String body) {
        mLoad.onMirrorSent(body.length());
        return ServerResponse.json(HttpResponseStatus.OK, body);
    }
}
