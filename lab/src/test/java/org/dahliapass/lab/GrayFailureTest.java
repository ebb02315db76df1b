package org.dahliapass.lab;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.dahliapass.entry.EntryVm;
import org.dahliapass.model.Endpoint;
import org.dahliapass.standins.TargetFaults;
import org.dahliapass.standins.TargetStandIn;
import org.testng.annotations.Test;

/** Checks that a target that fails its work and answers its probes stops receiving work. */
public final class GrayFailureTest {
    private static final TargetFaults GRAY =
            new TargetFaults(1.0, true, 1, false, false, true, null, 0, false);
    private static final Set<String> OUT = Set.of("ejected", "avoided-here");
    private static final Set<String> TAKEN_OUT = Set.of("ejected", "avoided");
    private static final int REQUESTS = 300;

    /** Work that tries whether the target is well again, far below its share of a third. */
    private static final int MOST_TRIALS = 15;

    // A target answers its health probes and fails every listing. Work alone shows it: the VMs
    // take it out, and an operator who asks why is told the cause, the evidence and the setting.
    // From then on it gets only the few requests that try whether it is well again.
    @Test
    public void grayTargetStopsReceivingWorkAndIsExplained() {
        try (TestFleet fleet = TestFleet.start(3, 3)) {
            TargetStandIn gray = fleet.targets().get(0);
            gray.setFaults(GRAY);
            fleet.await(
                    "all VMs took it out",
                    () -> {
                        send(fleet, 20);
                        return allTookOut(fleet, gray.endpoint());
                    });
            assertExplained(fleet, gray.endpoint());

            long before = gray.state().served();
            send(fleet, REQUESTS);
            long trials = gray.state().served() - before;
            assertTrue(trials <= MOST_TRIALS, trials + " requests went to it.");
        }
    }

    private static void send(TestFleet fleet, int requests) {
        for (int number = 0; number < requests; number++) {
            EntryVm vm = fleet.vms().get(number % fleet.vms().size());
            HttpCalls.get(vm.callerEndpoint(), "/services/himal/desk/listings/" + number);
        }
    }

    private static boolean allTookOut(TestFleet fleet, Endpoint target) {
        return fleet.vms().stream()
                        .map(vm -> HttpCalls.targetState(vm.operatorEndpoint(), target))
                        .flatMap(Optional::stream)
                        .filter(OUT::contains)
                        .count()
                == fleet.vms().size();
    }

    private static void assertExplained(TestFleet fleet, Endpoint target) {
        List<JsonNode> found = new ArrayList<>();
        for (EntryVm vm : fleet.vms()) {
            HttpCalls.json(
                            HttpCalls.get(
                                    vm.operatorEndpoint(),
                                    "/operations/explanations?target=" + target))
                    .forEach(found::add);
        }
        found.removeIf(node -> !TAKEN_OUT.contains(node.path("action").asText()));
        assertFalse(found.isEmpty(), "No VM explains why it took the target out.");
        for (JsonNode node : found) {
            for (String part : List.of("cause", "evidence", "setting")) {
                assertFalse(node.path(part).asText().isBlank(), part + " is missing: " + node);
            }
        }
    }
}
