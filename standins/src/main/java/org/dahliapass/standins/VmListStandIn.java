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
 * An in-memory stand-in for the platform's VM list with a subset of Consul's agent and health HTTP
 * API. {@code PUT /faults} injects propagation lag and outages at run time.
 */
public final class VmListStandIn implements StandIn {
    private static final long VISIBILITY_CHECK_PERIOD_MILLIS = 50;

    private final Clock mClock;
    private final VmListTable mTable = new VmListTable();
    private final BlockingReads mBlockingReads;
    private final LoopbackServer mServer;
    private volatile VmListFaults mFaults = VmListFaults.NONE;
    private Future<?> mVisibilityTimer = CommonPools.workerGroup().next().newSucceededFuture(null);

    /**
     * Creates the VM list.
     *
     * @param port the TCP port, 0 for a free one
     * @param clock the clock for the lag
     */
    public VmListStandIn(int port, Clock clock) {
        mClock = clock;
        mBlockingReads = new BlockingReads(name -> mTable.index(mClock.millis()));
        mServer = new LoopbackServer(port, this::addRoutes);
    }

    private void addRoutes(ServerBuilder builder) {
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
        mVisibilityTimer =
                CommonPools.workerGroup()
                        .next()
                        .scheduleAtFixedRate(
                                mBlockingReads::completeChanged,
                                VISIBILITY_CHECK_PERIOD_MILLIS,
                                VISIBILITY_CHECK_PERIOD_MILLIS,
                                TimeUnit.MILLISECONDS);
    }

    @Override
    public Endpoint endpoint() {
        return mServer.endpoint();
    }

    @Override
    public void close() {
        mVisibilityTimer.cancel(false);
        mBlockingReads.close();
        mServer.close();
    }

    /** Registers a VM or replaces its registration; the change becomes visible after the lag. */
    public void register(VmRegistration vm) {
        mTable.register(vm, mClock.millis() + mFaults.lagMillis());
        mBlockingReads.completeChanged();
    }

    /** Deregisters a VM; the change becomes visible after the lag. */
    public void deregister(String id) {
        mTable.deregister(id, mClock.millis() + mFaults.lagMillis());
        mBlockingReads.completeChanged();
    }

    /** Replaces the faults; pending reads return or fail at once. */
    public void setFaults(VmListFaults faults) {
        mFaults = faults;
        mBlockingReads.completeAll();
    }

    private HttpResponse read(ServiceRequestContext context, HttpRequest request) {
        String name = context.pathParam("name");
        if (mFaults.away()) {
            return HttpResponse.of(HttpStatus.INTERNAL_SERVER_ERROR);
        }
        return HttpResponse.of(
                mBlockingReads
                        .await(
                                name,
                                BlockingReadParameters.of(context.queryParams()),
                                context.eventLoop())
                        .thenApply(ignored -> listResponse(name)));
    }

    private HttpResponse listResponse(String name) {
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
