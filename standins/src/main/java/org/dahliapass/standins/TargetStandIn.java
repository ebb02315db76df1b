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
 * Stands in for one target: slots, load shedding, drain, cold start, deadlines, cancellation, and
 * gray faults that are switched while it runs.
 *
 * <p>Its reports and switches ({@code /health}, {@code /load}, {@code /runs}, {@code /served},
 * {@code /cancelled}, {@code /drain}, {@code /faults}) are served on the work port and on a control
 * port, which {@link TargetFaults#refuseConnections()} leaves open.
 */
public final class TargetStandIn implements StandIn {
    private final TargetState mState;
    private final LoopbackServer mServer;
    private final LoopbackServer mControl;

    /** Creates a target whose work port is the given one, 0 for a free one. */
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

    /** Returns where the reports and switches are reached whatever the faults. */
    public Endpoint controlEndpoint() {
        return mControl.endpoint();
    }

    /** Drains: ends the work in flight, then stops; stalled work is dropped. */
    @Override
    public void close() {
        mState.setDraining(true);
        if (mState.faults().stall()) {
            mServer.closeConnections();
        }
        mServer.close();
        mControl.close();
    }

    /** Returns the target's counts. */
    public TargetState state() {
        return mState;
    }

    /** Replaces the faults. */
    public void setFaults(TargetFaults faults) {
        mState.setFaults(faults);
        mServer.setRefusing(faults.refuseConnections());
    }

    /** Starts or ends the drain: new work is refused, work in flight ends. */
    public void setDraining(boolean draining) {
        mState.setDraining(draining);
    }

    private HttpResponse showHealth(ServiceRequestContext context, HttpRequest request) {
        TargetHealth health = mState.health();
        byte[] body = HttpResponses.encode(Map.of("status", health.label()));
        return HttpResponse.of(health.status(), MediaType.JSON_UTF_8, HttpData.wrap(body));
    }
}
