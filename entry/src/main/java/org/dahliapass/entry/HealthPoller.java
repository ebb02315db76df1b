package org.dahliapass.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpStatus;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.dahliapass.decisions.health.HealthReport;
import org.dahliapass.kernel.ControlLoop;
import org.dahliapass.kernel.Kernel;
import org.dahliapass.kernel.KernelService;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.ServiceTemplate;
import org.dahliapass.model.Target;

/**
 * Reads the targets' own health and load reports, each target by one VM of the cell in turn.
 *
 * <p>The reports lag or mislead, so they only ever say that a target is leaving or cold; what work
 * shows goes first. A probe costs a target about 25 ms, so the whole cell together reads a target
 * about once in {@link #PERIOD}, whatever the cell's size.
 */
final class HealthPoller implements KernelService {
    /** The name under which the kernel holds the poller. */
    static final String NAME = "health-poller";

    private static final Duration PERIOD = Duration.ofSeconds(1);
    private static final Duration TIMEOUT = Duration.ofMillis(800);
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ControlLoop mLoop;
    private TargetClients mClients;
    private ServiceTable mServices;
    private FleetService mFleet;
    private long mRound;

    private void poll() {
        mRound++;
        for (ServiceTemplate template : mServices.servedTemplates()) {
            int cell = Math.max(1, mFleet.cellOf(template).size());
            int place = mFleet.rankInCell(template);
            List<Target> targets = template.targets();
            for (int index = 0; index < targets.size(); index++) {
                if (Math.floorMod(index + mRound, cell) == place) {
                    read(template, targets.get(index).endpoint());
                }
            }
        }
    }

    private void read(ServiceTemplate template, Endpoint target) {
        CompletableFuture<Optional<JsonNode>> health = get(target, template.healthPath());
        CompletableFuture<Optional<JsonNode>> load = get(target, template.loadPath());
        CompletableFuture<Void> unused =
                health.thenAcceptBoth(
                        load,
                        (healthNode, loadNode) ->
                                mLoop.execute(
                                        () ->
                                                mServices.onReports(
                                                        template.id(),
                                                        target,
                                                        healthNode.map(HealthPoller::report),
                                                        loadNode.map(HealthPoller::load)
                                                                .orElse(0.0))));
    }

    private CompletableFuture<Optional<JsonNode>> get(Endpoint target, String path) {
        return mClients.send(target, HttpRequest.of(HttpMethod.GET, path), TIMEOUT)
                .response()
                .aggregate()
                .handle((answer, failure) -> failure == null ? parse(answer) : Optional.empty());
    }

    private static Optional<JsonNode> parse(AggregatedHttpResponse answer) {
        if (!answer.status().equals(HttpStatus.OK)) {
            return Optional.empty();
        }
        try {
            return Optional.of(MAPPER.readTree(answer.contentUtf8()));
        } catch (IOException expected) {
            return Optional.empty();
        }
    }

    private static HealthReport report(JsonNode node) {
        return switch (node.path("status").asText()) {
            case "cold" -> HealthReport.COLD;
            case "draining" -> HealthReport.DRAINING;
            case "leaving" -> HealthReport.LEAVING;
            case "failing", "sick" -> HealthReport.UNHEALTHY;
            default -> HealthReport.SERVING;
        };
    }

    private static double load(JsonNode node) {
        int slots = Math.max(1, node.path("slots").asInt(1));
        return node.path("busySlots").asDouble() / slots;
    }

    @Override
    public CompletableFuture<Void> start(Kernel kernel) {
        mLoop = kernel.find(ControlLoop.NAME, ControlLoop.class);
        mClients = kernel.find(TargetClients.NAME, TargetClients.class);
        mServices = kernel.find(ServiceTable.NAME, ServiceTable.class);
        mFleet = kernel.find(FleetService.NAME, FleetService.class);
        mLoop.scheduleWithFixedDelay(PERIOD, this::poll);
        return CompletableFuture.completedFuture(null);
    }
}
