package org.dahliapass.gateway;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.dahliapass.platform.TargetHeaders;
import org.dahliapass.standins.CallerStandIn;
import org.dahliapass.standins.GatewaySample;
import org.dahliapass.standins.SealingTargetStandIn;
import org.dahliapass.standins.SealingTargetStandIn.Behaviour;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of what a gateway VM does when a caller leaves while its request is at a target. */
public final class GatewayCallerDisconnectTest {
    /** The requests that both targets take together: three slots each. */
    private static final int PLACES = 6;

    private GatewayFixture mPath;

    /** How a caller leaves. */
    private enum Leaving {
        /** It closes its connection in order. */
        CLOSE {
            @Override
            void leave(Socket connection) throws IOException {
                connection.close();
            }
        },
        /** It resets its connection, as one does that leaves with bytes unread. */
        RESET {
            @Override
            void leave(Socket connection) throws IOException {
                connection.setSoLinger(true, 0);
                connection.close();
            }
        };

        abstract void leave(Socket connection) throws IOException;
    }

    /**
     * Reads may take a minute and go to one target, so that only the caller's leaving ends them.
     */
    @BeforeMethod
    public void start() {
        mPath = new GatewayFixture();
        String patient =
                GatewaySample.configuration(2, "/slow/")
                        .replace("1.5,0.8,2,null,2", "60,30,2,null,1");
        mPath.mStore.put("op/config", patient);
        GatewayFixture.await(() -> CallerStandIn.status(mPath.get("/slow/warm")) == 200);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        mPath.close();
    }

    /** How the caller leaves, and whether it asked for its connection to be closed afterwards. */
    @DataProvider
    public Object[][] leavings() {
        return new Object[][] {
            {Leaving.CLOSE, false},
            {Leaving.CLOSE, true},
            {Leaving.RESET, false},
            {Leaving.RESET, true}
        };
    }

    /**
     * A slow target stays busy for nobody. The caller of a listing leaves before its time is over;
     * the target works on until the deadline, and requests that somebody waits for queue behind it.
     */
    @Test(dataProvider = "leavings")
    public void listingWhoseCallerLeftIsStopped(Leaving leaving, boolean once) throws IOException {
        behave(Behaviour.HANG);
        Socket caller = mPath.caller().open(request("/slow/left", once));
        GatewayFixture.await(() -> mPath.seen("/slow/left") == 1);
        int before = ended();
        leaving.leave(caller);
        GatewayFixture.await(() -> ended() == before + 1);
        assertEquals(mPath.seen("/slow/left"), 1);
    }

    /** The same on a connection that has served a request before. */
    @Test
    public void listingOnAKeptConnectionWhoseCallerLeftIsStopped() throws IOException {
        Socket caller = mPath.caller().open(request("/slow/first", false));
        GatewayFixture.await(() -> mPath.seen("/slow/first") == 1);
        int first = caller.getInputStream().read();
        assertEquals(first, 'H');
        behave(Behaviour.HANG);
        caller.getOutputStream()
                .write(request("/slow/second", false).getBytes(StandardCharsets.ISO_8859_1));
        GatewayFixture.await(() -> mPath.seen("/slow/second") == 1);
        int before = ended();
        caller.close();
        GatewayFixture.await(() -> ended() == before + 1);
    }

    /**
     * A target gets work that nobody waits for. All slots are taken and a request with a body waits
     * for one; its caller leaves, and only then slots come free.
     */
    @Test(dataProvider = "leavings")
    public void requestThatWaitsForASlotIsNotSentOnceItsCallerLeft(Leaving leaving, boolean once)
            throws IOException {
        behave(Behaviour.HANG);
        List<Socket> busy = new ArrayList<>();
        for (int number = 0; number < PLACES; number++) {
            busy.add(mPath.caller().open(request("/slow/busy", false)));
        }
        GatewayFixture.await(() -> mPath.seen("/slow/busy") == PLACES);
        String queued =
                request("/slow/queued", once)
                        .replace("GET", "POST")
                        .replace("\r\n\r\n", "\r\nContent-Length: 4\r\n\r\nbody");
        Socket caller = mPath.caller().open(queued);
        assertEquals(CallerStandIn.status(mPath.get("/other/")), 404);
        leaving.leave(caller);
        assertEquals(CallerStandIn.status(mPath.get("/other/")), 404);
        behave(Behaviour.ANSWER);
        for (Socket one : busy) {
            one.close();
        }
        GatewayFixture.await(() -> CallerStandIn.status(mPath.get("/slow/after")) == 200);
        assertEquals(mPath.seen("/slow/queued"), 0);
    }

    /**
     * A target ran a sign-off ten seconds after its caller had left. A request that must not repeat
     * goes on when its caller leaves, since stopping it midway would leave its effect unknown; but
     * nothing ended it once its time was over, so what a cut link held back was still delivered.
     */
    @Test
    public void lockWhoseCallerLeftEndsWithItsTime() throws IOException {
        behave(Behaviour.HANG);
        String lock =
                request("/l/left", false)
                        .replace("GET", "POST")
                        .replace(": 60000\r\n", ": 300\r\nContent-Length: 0\r\n");
        Socket caller = mPath.caller().open(lock);
        GatewayFixture.await(() -> mPath.seen("/l/left") == 1);
        caller.close();
        // Idle connections end after a while, too; the one that carries the lock is the last.
        GatewayFixture.await(() -> ended() == opened());
    }

    private int opened() {
        return mPath.mTargets.stream().mapToInt(SealingTargetStandIn::connections).sum();
    }

    private int ended() {
        return mPath.mTargets.stream().mapToInt(SealingTargetStandIn::endedConnections).sum();
    }

    private void behave(Behaviour behaviour) {
        mPath.mTargets.forEach(target -> target.behave(seen -> behaviour));
    }

    private static String request(String path, boolean once) {
        return "GET "
                + path
                + " HTTP/1.1\r\nHost: a.example\r\n"
                + TargetHeaders.ATTEMPT_ID
                + ": gone\r\n"
                + TargetHeaders.REMAINING_MILLIS
                + ": 60000\r\n"
                + (once ? "Connection: close\r\n" : "")
                + "\r\n";
    }
}
