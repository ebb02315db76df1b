package org.dahliapass.standins;

import com.linecorp.armeria.common.CommonPools;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.server.ServerBuilder;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.time.Clock;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.dahliapass.model.Endpoint;

/**
 * Stands in for the platform's VM list: a subset of the Consul agent and health HTTP API, in
 * memory, with a lag and outages that are switched while it runs ({@code PUT /faults}).
 */
public final class VmListStandIn implements StandIn {
    private static final long SETTLE_PERIOD_MILLIS = 50;

    private final Clock mClock;
    private final VmListTable mTable = new VmListTable();
    private final BlockingReads mWaiting;
    private final LoopbackServer mServer;
    private volatile VmListFaults mFaults = VmListFaults.NONE;
    private Future<?> mSettleTimer = CommonPools.workerGroup().next().newSucceededFuture(null);

    /** Creates the VM list on a port, 0 for a free one. */
    public VmListStandIn(int port, Clock clock) {
        mClock = clock;
        mWaiting = new BlockingReads(name -> mTable.index(mClock.millis()));
        mServer = new LoopbackServer(port, this::declare);
    }

    private void declare(ServerBuilder builder) {
        builder.route().get("/v1/health/service/{name}").build(this::read);
        builder.route()
                .put("/v1/agent/service/register")
                .build(HttpResponses.replaceService(VmRegistration.class, this::register));
        builder.route()
                .put("/v1/agent/service/deregister/{id}")
                .build(
                        (context, request) -> {
                            deregister(context.pathParam("id"));
                            return HttpResponse.of(HttpStatus.OK);
                        });
        builder.route().get("/faults").build(HttpResponses.valueService(() -> mFaults));
        builder.route()
                .put("/faults")
                .build(HttpResponses.replaceService(VmListFaults.class, this::setFaults));
    }

    @Override
    public void start() {
        mServer.start();
        mSettleTimer =
                CommonPools.workerGroup()
                        .next()
                        .scheduleAtFixedRate(
                                mWaiting::completeChanged,
                                SETTLE_PERIOD_MILLIS,
                                SETTLE_PERIOD_MILLIS,
                                TimeUnit.MILLISECONDS);
    }

    @Override
    public Endpoint endpoint() {
        return mServer.endpoint();
    }

    @Override
    public void close() {
        mSettleTimer.cancel(false);
        mWaiting.close();
        mServer.close();
    }

    /** Registers a VM or replaces its registration; visible after the lag. */
    public void register(VmRegistration vm) {
        mTable.register(vm, mClock.millis() + mFaults.lagMillis());
        mWaiting.completeChanged();
    }

    /** Takes a VM off the list; visible after the lag. */
    public void deregister(String id) {
        mTable.deregister(id, mClock.millis() + mFaults.lagMillis());
        mWaiting.completeChanged();
    }

    /** Replaces the faults; waiting reads are answered or fail at once. */
    public void setFaults(VmListFaults faults) {
        mFaults = faults;
        mWaiting.completeAll();
    }

    private HttpResponse read(ServiceRequestContext context, HttpRequest request) {
        String name = context.pathParam("name");
        if (mFaults.away()) {
            return HttpResponse.of(HttpStatus.INTERNAL_SERVER_ERROR);
        }
        return HttpResponse.of(
                mWaiting.await(
                                name,
                                BlockingReadParameters.of(context.queryParams()),
                                context.eventLoop())
                        .thenApply(nothing -> show(name)));
    }

    private HttpResponse show(String name) {
        if (mFaults.away()) {
            return HttpResponse.of(HttpStatus.INTERNAL_SERVER_ERROR);
        }
        long nowMillis = mClock.millis();
        ResponseHeaders headers =
                ResponseHeaders.builder(HttpStatus.OK)
                        .contentType(MediaType.JSON_UTF_8)
                        .add("X-Consul-Index", Long.toString(mTable.index(nowMillis)))
                        .build();
        List<?> entries =
                mTable.visible(name, nowMillis).stream().map(VmListStandIn::entry).toList();
        return HttpResponse.of(headers, HttpData.wrap(HttpResponses.encode(entries)));
    }

    private static Map<String, Object> entry(VmRegistration vm) {
        return Map.of(
                "Node", Map.of("Node", vm.id()), "Service", vm, "Checks", List.of(vm.check()));
    }
}
