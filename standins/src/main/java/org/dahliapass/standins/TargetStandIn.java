package org.dahliapass.standins;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.server.ServerBuilder;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.time.Clock;
import java.util.Map;
import org.dahliapass.model.Endpoint;

/**
 * A stand-in for one target with slots, load shedding, drain, cold start, deadlines, cancellation
 * and gray failures that are injected at run time.
 *
 * <p>The reports and controls ({@code /health}, {@code /load}, {@code /runs}, {@code /served},
 * {@code /cancelled}, {@code /drain}, {@code /faults}) are served on the work port and on a control
 * port, which {@link TargetFaults#refuseConnections()} leaves open.
 */
public final class TargetStandIn implements StandIn {
    private final TargetState mState;
    private final LoopbackServer mServer;
    private final LoopbackServer mControl;

    /**
     * Creates a target.
     *
     * @param port the TCP port for requests, 0 for a free one
     * @param settings the target's settings
     * @param clock the clock for the cold start and for flapping faults
     */
    public TargetStandIn(int port, TargetSettings settings, Clock clock) {
        mState = new TargetState(settings, clock);
        mServer = new LoopbackServer(port, this::declareWork);
        mControl = new LoopbackServer(0, this::declareControl);
    }

    private void declareWork(ServerBuilder builder) {
        declareControl(builder);
        builder.serviceUnder("/", new WorkService(mState));
    }

    private void declareControl(ServerBuilder builder) {
        builder.route().get("/health").build(this::showHealth);
        builder.route().get("/load").build(HttpResponses.valueService(mState::load));
        builder.route().get("/runs").build(HttpResponses.valueService(mState::runs));
        builder.route().get("/served").build(HttpResponses.valueService(mState::served));
        builder.route().get("/cancelled").build(HttpResponses.valueService(mState::cancelled));
        builder.route().get("/faults").build(HttpResponses.valueService(mState::faults));
        builder.route()
                .put("/faults")
                .build(HttpResponses.replaceService(TargetFaults.class, this::setFaults));
        builder.route()
                .put("/drain")
                .build(HttpResponses.replaceService(Boolean.class, this::setDraining));
    }

    @Override
    public void start() {
        mServer.start();
        mControl.start();
    }

    @Override
    public Endpoint endpoint() {
        return mServer.endpoint();
    }

    /** Returns the control address, which stays reachable under all faults. */
    public Endpoint controlEndpoint() {
        return mControl.endpoint();
    }

    /** Drains the requests in flight, then stops; closes connections with stalled requests. */
    @Override
    public void close() {
        mState.setDraining(true);
        if (mState.faults().stall()) {
            mServer.closeConnections();
        }
        mServer.close();
        mControl.close();
    }

    /** Returns the target's state with its request counts. */
    public TargetState state() {
        return mState;
    }

    /** Replaces the faults. */
    public void setFaults(TargetFaults faults) {
        mState.setFaults(faults);
        mServer.setRefusing(faults.refuseConnections());
    }

    /** Sets whether the target drains: it rejects new requests but completes those in flight. */
    public void setDraining(boolean draining) {
        mState.setDraining(draining);
    }

    private HttpResponse showHealth(ServiceRequestContext context, HttpRequest request) {
        TargetHealth health = mState.health();
        byte[] body = HttpResponses.encode(Map.of("status", health.label()));
        return HttpResponse.of(health.status(), MediaType.JSON_UTF_8, HttpData.wrap(body));
    }
}
