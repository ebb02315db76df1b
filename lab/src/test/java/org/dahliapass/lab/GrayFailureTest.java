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

/** Tests the ejection of a target that fails its requests but answers its probes. */
public final class GrayFailureTest {
    private static final TargetFaults GRAY_FAILURE =
            new TargetFaults(1.0, true, 1, false, false, true, null, 0, false);
    private static final Set<String> EJECTED_STATES = Set.of("ejected", "avoided-here");
    private static final Set<String> EJECTION_ACTIONS = Set.of("ejected", "avoided");
    private static final int REQUESTS = 300;

    /** Far below the target's regular share of a third. */
    private static final int MAX_TRIAL_REQUESTS = 15;

    // Guards against gray failures that probes don't detect, and unexplained ejections.
    @Test
    public void grayTargetIsEjectedAndEjectionIsExplained() {
        try (TestFleet fleet = TestFleet.start(3, 3)) {
            TargetStandIn gray = fleet.targets().get(0);
            gray.setFaults(GRAY_FAILURE);
            fleet.await(
                    "all VMs eject the target",
                    () -> {
                        send(fleet, 20);
                        return isEjectedByAll(fleet, gray.endpoint());
                    });
            assertExplained(fleet, gray.endpoint());

            long before = gray.state().served();
            send(fleet, REQUESTS);
            long trialRequests = gray.state().served() - before;
            assertTrue(
                    trialRequests <= MAX_TRIAL_REQUESTS,
                    trialRequests + " requests reached the ejected target.");
        }
    }

    private static void send(TestFleet fleet, int requests) {
        for (int number = 0; number < requests; number++) {
            EntryVm vm = fleet.vms().get(number % fleet.vms().size());
            HttpCalls.get(vm.callerEndpoint(), "/services/himal/desk/listings/" + number);
        }
    }

    private static boolean isEjectedByAll(TestFleet fleet, Endpoint target) {
        return fleet.vms().stream()
                        .map(vm -> HttpCalls.targetState(vm.operatorEndpoint(), target))
                        .flatMap(Optional::stream)
                        .filter(EJECTED_STATES::contains)
                        .count()
                == fleet.vms().size();
    }

    private static void assertExplained(TestFleet fleet, Endpoint target) {
        List<JsonNode> explanations = new ArrayList<>();
        for (EntryVm vm : fleet.vms()) {
            HttpCalls.json(
                            HttpCalls.get(
                                    vm.operatorEndpoint(),
                                    "/operations/explanations?target=" + target))
                    .forEach(explanations::add);
        }
        explanations.removeIf(node -> !EJECTION_ACTIONS.contains(node.path("action").asText()));
        assertFalse(explanations.isEmpty(), "No VM explains the ejection of the target.");
        for (JsonNode node : explanations) {
            for (String field : List.of("cause", "evidence", "setting")) {
                assertFalse(node.path(field).asText().isBlank(), field + " is missing: " + node);
            }
        }
    }
}
