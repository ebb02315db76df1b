package org.dahliapass.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.dahliapass.kernel.ControlLoop;
import org.dahliapass.kernel.JsonObject;
import org.dahliapass.kernel.Kernel;
import org.dahliapass.kernel.KernelService;
import org.dahliapass.kernel.PeriodicTask;
import org.dahliapass.traffic.QueueSummary;

/**
 * Logs once a second, for each service with requests that wait or were refused, how many wait by
 * level of priority, how many were refused by reason, and which customers hold most.
 */
final class WaitingReporter implements KernelService {
    /** The service name in the kernel. */
    static final String NAME = "waiting-reporter";

    private static final Duration REPORT_PERIOD = Duration.ofSeconds(1);

    private final EventLog mLog;
    private ServicePools mPools;
    private PeriodicTask mReportTask;

    WaitingReporter(EventLog log) {
        mLog = log;
    }

    @Override
    public CompletableFuture<Void> start(Kernel kernel) {
        mPools = kernel.find(ServicePools.NAME, ServicePools.class);
        ControlLoop loop = kernel.find(ControlLoop.NAME, ControlLoop.class);
        mReportTask = new PeriodicTask(loop, REPORT_PERIOD, this::report);
        return CompletableFuture.completedFuture(null);
    }

    /** Starts reporting, because this VM serves requests; any thread may call this. */
    void onRequest() {
        mReportTask.wake();
    }

    /** Logs the services under contention; stops when there is none. */
    private Optional<Duration> report() {
        List<JsonObject> services = new ArrayList<>();
        for (String service : mPools.serviceNames()) {
            mPools.find(service)
                    .map(pool -> pool.runtime().drainQueueSummary())
                    .filter(summary -> !summary.isEmpty())
                    .ifPresent(summary -> services.add(toJson(service, summary)));
        }
        if (services.isEmpty()) {
            return Optional.empty();
        }
        mLog.write(EventLog.Kind.LOAD, "waiting", line -> line.putList("services", services));
        return Optional.of(REPORT_PERIOD);
    }

    /** Returns the summary of one service as it is logged. */
    static JsonObject toJson(String service, QueueSummary summary) {
        JsonObject waiting = new JsonObject();
        summary.waiting().forEach((level, count) -> waiting.put(Integer.toString(level), count));
        JsonObject refused = new JsonObject();
        summary.refused()
                .forEach(
                        (reason, count) ->
                                refused.put(reason.name().toLowerCase(Locale.ROOT), count));
        return new JsonObject()
                .put("service", service)
                .put("waiting", waiting)
                .put("refused", refused)
                .putList("largest_customers", summary.largest());
    }
}
