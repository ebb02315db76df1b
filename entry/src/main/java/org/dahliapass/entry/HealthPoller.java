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
 * Polls the health and load reports of targets.
 *
 * <p>The reports may be outdated or wrong, so the outcomes of requests take precedence. The VMs of
 * a cell take turns, so that each target is polled about once per {@link #PERIOD} whatever the size
 * of the cell.
 */
final class HealthPoller implements KernelService {
    /** The name under which the poller is registered with the kernel. */
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
            int cellSize = Math.max(1, mFleet.cellOf(template).size());
            int rank = mFleet.rankInCell(template);
            List<Target> targets = template.targets();
            for (int index = 0; index < targets.size(); index++) {
                if (Math.floorMod(index + mRound, cellSize) == rank) {
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
                .handle(
                        (response, failure) ->
                                failure == null ? parse(response) : Optional.empty());
    }

    private static Optional<JsonNode> parse(AggregatedHttpResponse response) {
        if (!response.status().equals(HttpStatus.OK)) {
            return Optional.empty();
        }
        try {
            return Optional.of(MAPPER.readTree(response.contentUtf8()));
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
