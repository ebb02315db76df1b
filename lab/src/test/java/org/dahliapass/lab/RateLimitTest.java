package org.dahliapass.lab;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.dahliapass.model.Endpoint;
import org.testng.annotations.Test;

/** Checks that one customer's flood is refused and harms no other. */
public final class RateLimitTest {
    private static final int RATE_PER_SECOND = 1;
    private static final int FLOOD = 200;
    private static final int OTHERS = 20;

    // An audit firm's script sends two hundred listings at once where its template allows one a
    // second. Those above the rate are refused at once with the time after which to come again;
    // the other customer's listings at the same VM are all served in between.
    @Test
    public void floodIsRefusedAtOnceWhileOthersAreServed() {
        try (TestFleet fleet = TestFleet.start(3, 1)) {
            fleet.platform().acceptUser("valley", RATE_PER_SECOND);
            Endpoint vm = fleet.vms().get(0).callerEndpoint();
            fleet.await("the template is in force", () -> isKnown(vm));

            List<CompletableFuture<AggregatedHttpResponse>> flood = send("valley", FLOOD, vm);
            List<CompletableFuture<AggregatedHttpResponse>> others = send("himal", OTHERS, vm);
            others.forEach(answer -> assertEquals(answer.join().status().code(), 200));

            int refused = 0;
            for (CompletableFuture<AggregatedHttpResponse> answer : flood) {
                refused += checkedRefusals(answer.join());
            }
            assertTrue(refused >= FLOOD / 2, refused + " of " + FLOOD + " were refused.");
        }
    }

    private static boolean isKnown(Endpoint vm) {
        return HttpCalls.get(vm, "/services/valley/desk/listings/0").status().code() != 404;
    }

    private static List<CompletableFuture<AggregatedHttpResponse>> send(
            String customer, int requests, Endpoint vm) {
        List<CompletableFuture<AggregatedHttpResponse>> answers = new ArrayList<>();
        for (int number = 0; number < requests; number++) {
            answers.add(HttpCalls.getAsync(vm, "/services/" + customer + "/desk/listings/1"));
        }
        return answers;
    }

    private static int checkedRefusals(AggregatedHttpResponse answer) {
        if (answer.status().isSuccess()) {
            return 0;
        }
        assertEquals(answer.status().code(), 429, answer.contentUtf8());
        assertNotNull(answer.headers().get("retry-after"));
        return 1;
    }
}
