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
import org.dahliapass.standins.GatewaySample;
import org.dahliapass.standins.SealingTargetStandIn;
import org.dahliapass.standins.SealingTargetStandIn.Behaviour;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of second offers beside one that is slow. */
public final class GatewayHedgeTest {
    /** Two targets with three slots, and one request more that may wait at each. */
    private static final int PLACES = 8;

    private GatewayFixture mPath;

    /** Reads may take half a minute and have an objective of 0.8 s, after which they are hedged. */
    @BeforeMethod
    public void start() {
        mPath = new GatewayFixture();
        String patient =
                GatewaySample.configuration(2, "/slow/")
                        .replace("1.5,0.8,2,null,2", "30,0.8,2,null,2");
        mPath.mStore.put("op/config", patient);
        GatewayFixture.await(() -> CallerStandIn.status(mPath.get("/slow/warm")) == 200);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        mPath.close();
    }

    /**
     * A listing would wait its whole time at a target that hangs. When its hedge was due, locks
     * held every other slot for a moment; they end, and the hedge has to be asked for again.
     */
    @Test
    public void hedgeIsAskedForAgainOnceASlotComesFree() throws IOException {
        AtomicBoolean first = new AtomicBoolean(true);
        mPath.mTargets.forEach(target -> target.behave(seen -> behaviour(seen, first)));
        CompletableFuture<String> read =
                CompletableFuture.supplyAsync(() -> mPath.caller().raw(request("GET /slow/read")));
        GatewayFixture.await(() -> mPath.seen("/slow/read") == 1);
        List<Socket> locks = new ArrayList<>();
        for (int number = 0; number < PLACES - 1; number++) {
            locks.add(mPath.caller().open(request("POST /l/" + number)));
        }
        assertEquals(CallerStandIn.status(read.join()), 200);
        assertEquals(mPath.seen("/slow/read"), 2);
        for (Socket lock : locks) {
            lock.close();
        }
    }

    /** Locks hang for their 1.2 s, and so does the first read. */
    private static Behaviour behaviour(SealingTargetStandIn.Seen seen, AtomicBoolean first) {
        boolean hangs = seen.line().startsWith("POST") || first.getAndSet(false);
        return hangs ? Behaviour.HANG : Behaviour.ANSWER;
    }

    private static String request(String call) {
        return call
                + " HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n"
                + TargetHeaders.ATTEMPT_ID
                + ": "
                + call.hashCode()
                + "\r\n"
                + TargetHeaders.REMAINING_MILLIS
                + ": 30000\r\nContent-Length: 0\r\n\r\n";
    }
}
