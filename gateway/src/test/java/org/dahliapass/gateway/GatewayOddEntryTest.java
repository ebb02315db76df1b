package org.dahliapass.gateway;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.dahliapass.standins.CallerStandIn;
import org.dahliapass.standins.GatewayFixtures;
import org.testng.annotations.Test;

/** Tests a gateway VM whose store holds odd entries of another writer among those of targets. */
public final class GatewayOddEntryTest {
    private static final List<String> VALUES =
            List.of(
                    "[".repeat(100_000),
                    "{\"slots\":" + "[".repeat(900) + "]".repeat(900) + "}",
                    entry("127.0.0.1:1", "1" + "0".repeat(900), "0"),
                    entry("127.0.0.1:1", "3", "1e400"),
                    entry("127.0.0.1:65536", "3", "0"),
                    entry("127.0.0.256:1", "3", "0"));

    /** Guards against an odd entry that keeps the entries after it from being applied. */
    @Test
    public void laterEntriesAreApplied() {
        try (GatewayFixture fixture = new GatewayFixture()) {
            for (int number = 0; number < VALUES.size(); number++) {
                // Sorts before all others in a snapshot.
                fixture.mStore.put("servers/a-" + number, VALUES.get(number));
            }
            fixture.mStore.put("servers/a b", entry("127.0.0.1:1", "3", "0"));
            fixture.mStore.put("op/config", GatewayFixtures.configuration(2, "/s/"));
            GatewayFixture.await(() -> CallerStandIn.status(fixture.get("/s/after")) == 200);
            String log = fixture.mLogOutput.toString(StandardCharsets.UTF_8);
            assertEquals(log.split("\"item_refused\"", -1).length - 1, VALUES.size() + 1, log);
        }
    }

    private static String entry(String address, String slots, String warmup) {
        return "{\"service\":\"x\",\"address\":\""
                + address
                + "\",\"zone\":\"zone-a\",\"state\":\"ready\",\"slots\":"
                + slots
                + ",\"warmup_left_s\":"
                + warmup
                + "}";
    }
}
