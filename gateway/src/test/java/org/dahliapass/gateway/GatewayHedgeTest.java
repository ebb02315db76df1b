package org.dahliapass.gateway;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.dahliapass.platform.TargetHeaders;
import org.dahliapass.standins.CallerStandIn;
import org.dahliapass.standins.GatewayFixtures;
import org.dahliapass.standins.SigningTargetStandIn;
import org.dahliapass.standins.SigningTargetStandIn.Behaviour;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of hedged requests. */
public final class GatewayHedgeTest {
    /** Two targets with three slots and one queued request each. */
    private static final int CAPACITY = 8;

    private GatewayFixture mFixture;

    /**
     * Configures reads with a timeout of 30 s and a latency objective of 0.8 s, which triggers
     * hedges.
     */
    @BeforeMethod
    public void start() {
        mFixture = new GatewayFixture();
        String configuration =
                GatewayFixtures.configuration(2, "/slow/")
                        .replace("1.5,0.8,2,null,2", "30,0.8,2,null,2");
        mFixture.mStore.put("op/config", configuration);
        GatewayFixture.await(() -> CallerStandIn.status(mFixture.get("/slow/warm")) == 200);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        mFixture.close();
    }

    /**
     * Guards against a read that waits for a hung target until its deadline because all other slots
     * were taken when its hedge was due.
     */
    @Test
    public void hedgeIsRetriedWhenASlotIsReleased() throws IOException {
        AtomicBoolean first = new AtomicBoolean(true);
        mFixture.mTargets.forEach(target -> target.setBehaviour(seen -> behaviour(seen, first)));
        CompletableFuture<String> read =
                CompletableFuture.supplyAsync(
                        () -> mFixture.caller().sendRaw(request("GET /slow/read")));
        GatewayFixture.await(() -> mFixture.seen("/slow/read") == 1);
        List<Socket> locks = new ArrayList<>();
        for (int number = 0; number < CAPACITY - 1; number++) {
            locks.add(mFixture.caller().open(request("POST /l/" + number)));
        }
        assertEquals(CallerStandIn.status(read.join()), 200);
        assertEquals(mFixture.seen("/slow/read"), 2);
        for (Socket lock : locks) {
            lock.close();
        }
    }

    /** Locks and the first read hang. */
    private static Behaviour behaviour(
            SigningTargetStandIn.ReceivedRequest seen, AtomicBoolean first) {
        boolean hangs = seen.requestLine().startsWith("POST") || first.getAndSet(false);
        return hangs ? Behaviour.HANG : Behaviour.RESPOND;
    }

    private static String request(String requestLine) {
        return requestLine
                + " HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n"
                + TargetHeaders.ATTEMPT_ID
                + ": "
                + requestLine.hashCode()
                + "\r\n"
                + TargetHeaders.REMAINING_MILLIS
                + ": 30000\r\nContent-Length: 0\r\n\r\n";
    }
}
