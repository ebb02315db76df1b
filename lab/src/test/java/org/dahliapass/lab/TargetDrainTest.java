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

/** Checks that a target that drains gets no new work. */
public final class TargetDrainTest {
    private static final TargetFaults SLOW =
            new TargetFaults(0, false, 100, false, false, false, null, 0, false);
    private static final Pattern SHED =
            Pattern.compile("dahliapass_tries_total\\{.*end=\"refused_shed\".*} ([0-9.]+)");

    /** More than the slots of both targets, and less than the queue holds for one customer. */
    private static final int BURST = 24;

    private static final int REQUESTS = 60;

    // Listings fill all slots and wait in the queue when one of two targets begins to drain. What
    // it has begun ends there; what waits, what it refuses and what comes later goes to the other
    // one. Once every VM knows, none sends it anything at all: its first refusal was the sign.
    @Test
    public void drainingTargetGetsNothingNew() {
        try (TestFleet fleet = TestFleet.start(2, 3)) {
            TargetStandIn leaver = fleet.targets().get(0);
            fleet.platform().setFaults(SLOW);
            List<CompletableFuture<AggregatedHttpResponse>> answers =
                    sendBurst(fleet.vms().get(0).callerEndpoint());
            fleet.await("it has work", () -> leaver.state().served() > 0);

            leaver.setDraining(true);
            long served = leaver.state().served();
            answers.forEach(answer -> assertServed(answer.join()));
            fleet.await("all VMs know", () -> allKnow(fleet, leaver.endpoint()));
            int refused = refusals(fleet);

            fleet.platform().setFaults(TargetFaults.NONE);
            sendOneByOne(fleet);
            assertEquals(leaver.state().served(), served, "It began new work.");
            assertEquals(refusals(fleet), refused, "It was sent work after all VMs knew.");
        }
    }

    private static List<CompletableFuture<AggregatedHttpResponse>> sendBurst(Endpoint vm) {
        List<CompletableFuture<AggregatedHttpResponse>> answers = new ArrayList<>();
        for (int number = 0; number < BURST; number++) {
            answers.add(HttpCalls.getAsync(vm, "/services/himal/desk/listings/before-" + number));
        }
        return answers;
    }

    private static void sendOneByOne(TestFleet fleet) {
        for (int number = 0; number < REQUESTS; number++) {
            EntryVm vm = fleet.vms().get(number % fleet.vms().size());
            assertServed(
                    HttpCalls.get(vm.callerEndpoint(), "/services/himal/desk/listings/" + number));
        }
    }

    private static void assertServed(AggregatedHttpResponse answer) {
        assertTrue(answer.status().isSuccess(), answer.contentUtf8());
    }

    private static boolean allKnow(TestFleet fleet, Endpoint target) {
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
