package org.dahliapass.gateway;

import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.QueryParams;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.dahliapass.kernel.ControlLoop;
import org.dahliapass.platform.StoreCalls;
import org.dahliapass.platform.WatchAnswer;

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
    private final VmLoad mLoad;
    private final List<Waiter> mWaiters = new ArrayList<>();

    private record Waiter(long revision, CompletableFuture<HttpResponse> answer) {}

    MirrorService(ControlLoop loop, ChangeFeed feed, VmLoad load) {
        mLoop = loop;
        mFeed = feed;
        mLoad = load;
        feed.onStep(this::answerWaiters);
    }

    /** Answers with the whole copy. */
    HttpResponse range(ServiceRequestContext context, HttpRequest request) {
        return HttpResponse.of(mLoop.ask(this::copy));
    }

    private HttpResponse copy() {
        if (!mFeed.mirror().isFilled()) {
            return unavailable();
        }
        return json(StoreCalls.encode(mFeed.mirror().all()));
    }

    /** Answers once there are changes, or none when the caller's wait ends. */
    HttpResponse watch(ServiceRequestContext context, HttpRequest request) {
        context.clearRequestTimeout();
        QueryParams query = context.queryParams();
        long revision = query.getLong(StoreCalls.AFTER, 0);
        Duration wait = Duration.ofMillis(query.getLong(StoreCalls.WAIT_MILLIS, 0));
        CompletableFuture<HttpResponse> answer = new CompletableFuture<>();
        mLoop.execute(() -> await(new Waiter(revision, answer), wait));
        return HttpResponse.of(answer);
    }

    private void await(Waiter waiter, Duration wait) {
        mWaiters.add(waiter);
        answerWaiters();
        if (waiter.answer().isDone()) {
            return;
        }
        mLoop.after(
                wait,
                () -> {
                    mWaiters.remove(waiter);
                    waiter.answer()
                            .complete(
                                    json(
                                            StoreCalls.encode(
                                                    new WatchAnswer.Changes(
                                                            List.of(), waiter.revision()))));
                });
    }

    private void answerWaiters() {
        mWaiters.removeIf(
                waiter -> {
                    Optional<HttpResponse> answer = answer(waiter.revision());
                    answer.ifPresent(waiter.answer()::complete);
                    return answer.isPresent();
                });
    }

    private Optional<HttpResponse> answer(long revision) {
        if (!mFeed.isCurrent()) {
            return Optional.of(unavailable());
        }
        Optional<WatchAnswer> changes = mFeed.mirror().changesAfter(revision);
        return changes.map(
                found ->
                        found instanceof WatchAnswer.Changes known
                                ? json(StoreCalls.encode(known))
                                : HttpResponse.of(HttpStatus.GONE));
    }

    private static HttpResponse unavailable() {
        return HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE);
    }

    private HttpResponse json(String body) {
        mLoad.onCopied(body.length());
        return HttpResponse.of(HttpStatus.OK, MediaType.JSON, body);
    }
}
