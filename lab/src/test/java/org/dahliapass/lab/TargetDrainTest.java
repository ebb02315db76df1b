package org.dahliapass.lab;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.dahliapass.entry.EntryVm;
import org.dahliapass.model.Endpoint;
import org.dahliapass.standins.TargetFaults;
import org.dahliapass.standins.TargetStandIn;
import org.testng.annotations.Test;

/** Tests that a draining target gets no new requests. */
public final class TargetDrainTest {
    private static final TargetFaults SLOW =
            new TargetFaults(0, false, 100, false, false, false, null, 0, false);
    private static final Pattern SHED =
            Pattern.compile("dahliapass_tries_total\\{.*end=\"refused_shed\".*} ([0-9.]+)");

    /** More than the slots of both targets, fewer than one customer's queue holds. */
    private static final int BURST = 24;

    private static final int REQUESTS = 60;

    // Guards against lost or misdirected requests when a target with queued requests drains.
    @Test
    public void drainingTargetGetsNoNewRequests() {
        try (TestFleet fleet = TestFleet.start(2, 3)) {
            TargetStandIn drainingTarget = fleet.targets().get(0);
            fleet.platform().setFaults(SLOW);
            List<CompletableFuture<AggregatedHttpResponse>> responses =
                    sendBurst(fleet.vms().get(0).callerEndpoint());
            fleet.await("the target has requests", () -> drainingTarget.state().served() > 0);

            drainingTarget.setDraining(true);
            long served = drainingTarget.state().served();
            responses.forEach(response -> assertServed(response.join()));
            fleet.await(
                    "all VMs know that the target drains",
                    () -> isKnownAsLeaving(fleet, drainingTarget.endpoint()));
            int refused = refusals(fleet);

            fleet.platform().setFaults(TargetFaults.NONE);
            sendSequentially(fleet);
            assertEquals(
                    drainingTarget.state().served(),
                    served,
                    "The draining target served new requests.");
            assertEquals(
                    refusals(fleet),
                    refused,
                    "The draining target was sent requests after all VMs knew.");
        }
    }

    private static List<CompletableFuture<AggregatedHttpResponse>> sendBurst(Endpoint vm) {
        List<CompletableFuture<AggregatedHttpResponse>> responses = new ArrayList<>();
        for (int number = 0; number < BURST; number++) {
            responses.add(HttpCalls.getAsync(vm, "/services/himal/desk/listings/before-" + number));
        }
        return responses;
    }

    private static void sendSequentially(TestFleet fleet) {
        for (int number = 0; number < REQUESTS; number++) {
            EntryVm vm = fleet.vms().get(number % fleet.vms().size());
            assertServed(
                    HttpCalls.get(vm.callerEndpoint(), "/services/himal/desk/listings/" + number));
        }
    }

    private static void assertServed(AggregatedHttpResponse response) {
        assertTrue(response.status().isSuccess(), response.contentUtf8());
    }

    private static boolean isKnownAsLeaving(TestFleet fleet, Endpoint target) {
        Optional<String> leaving = Optional.of("leaving");
        return fleet.vms().stream()
                .allMatch(
                        vm -> HttpCalls.targetState(vm.operatorEndpoint(), target).equals(leaving));
    }

    private static int refusals(TestFleet fleet) {
        int sum = 0;
        for (EntryVm vm : fleet.vms()) {
            String metrics = HttpCalls.get(vm.operatorEndpoint(), "/metrics").contentUtf8();
            Matcher matcher = SHED.matcher(metrics);
            sum += matcher.find() ? (int) Double.parseDouble(matcher.group(1)) : 0;
        }
        return sum;
    }
}
