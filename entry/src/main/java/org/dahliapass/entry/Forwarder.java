package org.dahliapass.entry;

import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.SplitHttpResponse;
import java.time.Clock;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.dahliapass.decisions.once.Operation;
import org.dahliapass.kernel.ComponentLog;
import org.dahliapass.model.Vm;

/** Forwards requests that belong to another VM, at most once each. */
final class Forwarder {
    private static final ComponentLog LOG = ComponentLog.of("forward");
    private static final Duration CELL_TIMEOUT = Duration.ofMinutes(10);

    private final Clock mClock;
    private final TargetClients mClients;
    private final FleetService mFleet;
    private final ConfigurationService mConfiguration;

    Forwarder(
            Clock clock,
            TargetClients clients,
            FleetService fleet,
            ConfigurationService configuration) {
        mConfiguration = configuration;
        mClock = clock;
        mClients = clients;
        mFleet = fleet;
    }

    /**
     * Forwards a request to a VM in the service's cell.
     *
     * @return the response, or empty if the request was already forwarded or the cell has no other
     *     VM
     */
    Optional<HttpResponse> forwardToCell(HttpRequest request, ServicePath path) {
        if (request.headers().contains(CallerHeaders.FORWARDED_BY)) {
            return Optional.empty();
        }
        String self = mFleet.view().self().identity().name();
        return mConfiguration.findCell(path.customer(), path.service(), null).stream()
                .flatMap(found -> mFleet.cellOf(found.service(), found.size()).stream())
                .filter(vm -> !vm.identity().name().equals(self))
                .findFirst()
                .map(vm -> send(vm, request));
    }

    private HttpResponse send(Vm vm, HttpRequest request) {
        RequestHeaders headers =
                request.headers().toBuilder()
                        .set(CallerHeaders.FORWARDED_BY, mFleet.view().self().identity().name())
                        .build();
        return mClients.send(vm.callerEndpoint(), request.withHeaders(headers), CELL_TIMEOUT)
                .response();
    }

    /**
     * Forwards an at-most-once request to its key's home.
     *
     * @return the response, or empty if the request was already forwarded, the home is unknown or
     *     unreachable, or another incarnation responded
     */
    CompletableFuture<Optional<HttpResponse>> forwardToHome(
            CallerRequest request, Operation operation) {
        Optional<Vm> home = mFleet.view().find(operation.key().home());
        boolean forwarded = request.message().headers().contains(CallerHeaders.FORWARDED_BY);
        if (home.isEmpty() || forwarded) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        RequestHeaders headers =
                request.message().headers().toBuilder()
                        .set(CallerHeaders.FORWARDED_BY, mFleet.view().self().identity().name())
                        .build();
        long remaining = Math.max(1, request.remainingMillis(mClock.millis()));
        HttpResponse response =
                mClients.send(
                                home.get().callerEndpoint(),
                                HttpRequest.of(headers, request.message().content()),
                                Duration.ofMillis(remaining))
                        .response();
        return responseFromHome(response, operation);
    }

    private static CompletableFuture<Optional<HttpResponse>> responseFromHome(
            HttpResponse response, Operation operation) {
        SplitHttpResponse split = response.split();
        return split.headers()
                .handle(
                        (headers, failure) -> {
                            if (failure != null) {
                                LOG.info("The home VM did not respond: " + failure.getMessage());
                                return Optional.empty();
                            }
                            if (!isFromHome(headers, operation)) {
                                split.body().abort();
                                return Optional.empty();
                            }
                            return Optional.of(HttpResponse.of(headers, split.body()));
                        });
    }

    /** Rejects a response from a restarted home, which has no records of its past operations. */
    private static boolean isFromHome(ResponseHeaders headers, Operation operation) {
        return operation.key().home().toString().equals(headers.get(CallerHeaders.ANSWERED_BY));
    }
}
