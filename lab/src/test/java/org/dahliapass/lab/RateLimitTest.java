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

/** Tests that a customer's rate limit does not affect other customers. */
public final class RateLimitTest {
    private static final int RATE_PER_SECOND = 1;
    private static final int LIMITED_REQUESTS = 200;
    private static final int OTHER_REQUESTS = 20;

    // Guards against one customer's burst delaying the requests of another customer.
    @Test
    public void requestsAboveRateAreRefusedWhileOtherCustomersAreServed() {
        try (TestFleet fleet = TestFleet.start(3, 1)) {
            fleet.platform().acceptUser("valley", RATE_PER_SECOND);
            Endpoint vm = fleet.vms().get(0).callerEndpoint();
            fleet.await("the template is in force", () -> isTemplateActive(vm));

            List<CompletableFuture<AggregatedHttpResponse>> limited =
                    send("valley", LIMITED_REQUESTS, vm);
            List<CompletableFuture<AggregatedHttpResponse>> others =
                    send("himal", OTHER_REQUESTS, vm);
            others.forEach(response -> assertEquals(response.join().status().code(), 200));

            int refused = 0;
            for (CompletableFuture<AggregatedHttpResponse> response : limited) {
                refused += countRefusal(response.join());
            }
            assertTrue(
                    refused >= LIMITED_REQUESTS / 2,
                    refused + " of " + LIMITED_REQUESTS + " were refused.");
        }
    }

    private static boolean isTemplateActive(Endpoint vm) {
        return HttpCalls.get(vm, "/services/valley/desk/listings/0").status().code() != 404;
    }

    private static List<CompletableFuture<AggregatedHttpResponse>> send(
            String customer, int requests, Endpoint vm) {
        List<CompletableFuture<AggregatedHttpResponse>> responses = new ArrayList<>();
        for (int number = 0; number < requests; number++) {
            responses.add(HttpCalls.getAsync(vm, "/services/" + customer + "/desk/listings/1"));
        }
        return responses;
    }

    private static int countRefusal(AggregatedHttpResponse response) {
        if (response.status().isSuccess()) {
            return 0;
        }
        assertEquals(response.status().code(), 429, response.contentUtf8());
        assertNotNull(response.headers().get("retry-after"));
        return 1;
    }
}
