package org.dahliapass.gateway;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.dahliapass.platform.TargetHeaders;
import org.dahliapass.standins.CallerStandIn;
import org.dahliapass.standins.GatewayFixtures;
import org.dahliapass.standins.SigningTargetStandIn;
import org.dahliapass.standins.SigningTargetStandIn.Behaviour;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of a caller that disconnects while its request is at a target. */
public final class GatewayCallerDisconnectTest {
    /** The slots of both targets. */
    private static final int SLOTS = 6;

    private FreezableClock mClock;
    private GatewayFixture mFixture;

    /** How a caller disconnects. */
    private enum Disconnection {
        /** An orderly close. */
        CLOSE {
            @Override
            void disconnect(Socket connection) throws IOException {
                connection.close();
            }
        },
        /** A reset, as after a close with unread data. */
        RESET {
            @Override
            void disconnect(Socket connection) throws IOException {
                connection.setSoLinger(true, 0);
                connection.close();
            }
        };

        abstract void disconnect(Socket connection) throws IOException;
    }

    /**
     * Configures reads with a timeout of a minute and one target, so that only the disconnection
     * ends them.
     */
    @BeforeMethod
    public void start() {
        mClock = new FreezableClock();
        mFixture = new GatewayFixture(mClock);
        String configuration =
                GatewayFixtures.configuration(2, "/slow/")
                        .replace("1.5,0.8,2,null,2", "60,30,2,null,1");
        mFixture.mStore.put("op/config", configuration);
        GatewayFixture.await(() -> CallerStandIn.status(mFixture.get("/slow/warm")) == 200);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        mClock.resume();
        mFixture.close();
    }

    /** How the caller disconnects, and whether it sends {@code Connection: close}. */
    @DataProvider
    public Object[][] disconnections() {
        return new Object[][] {
            {Disconnection.CLOSE, false},
            {Disconnection.CLOSE, true},
            {Disconnection.RESET, false},
            {Disconnection.RESET, true}
        };
    }

    /**
     * Guards against a target that works on a read until its deadline after the caller has
     * disconnected.
     */
    @Test(dataProvider = "disconnections")
    public void readIsAbortedWhenCallerDisconnects(
            Disconnection disconnection, boolean closeAfterwards) throws IOException {
        behave(Behaviour.HANG);
        Socket caller = mFixture.caller().open(request("/slow/left", closeAfterwards));
        GatewayFixture.await(() -> mFixture.seen("/slow/left") == 1);
        int before = closedConnections();
        disconnection.disconnect(caller);
        GatewayFixture.await(() -> closedConnections() == before + 1);
        assertEquals(mFixture.seen("/slow/left"), 1);
    }

    /** The same on a kept-alive connection that has served a request. */
    @Test
    public void readOnKeptAliveConnectionIsAbortedWhenCallerDisconnects() throws IOException {
        Socket caller = mFixture.caller().open(request("/slow/first", false));
        GatewayFixture.await(() -> mFixture.seen("/slow/first") == 1);
        int first = caller.getInputStream().read();
        assertEquals(first, 'H');
        behave(Behaviour.HANG);
        caller.getOutputStream()
                .write(request("/slow/second", false).getBytes(StandardCharsets.ISO_8859_1));
        GatewayFixture.await(() -> mFixture.seen("/slow/second") == 1);
        int before = closedConnections();
        caller.close();
        GatewayFixture.await(() -> closedConnections() == before + 1);
    }

    /** Guards against sending a queued request to a target after its caller has disconnected. */
    @Test(dataProvider = "disconnections")
    public void queuedRequestIsNotSentAfterCallerDisconnects(
            Disconnection disconnection, boolean closeAfterwards) throws IOException {
        behave(Behaviour.HANG);
        List<Socket> occupying = occupyAllSlots();
        String queued =
                request("/slow/queued", closeAfterwards)
                        .replace("GET", "POST")
                        .replace("\r\n\r\n", "\r\nContent-Length: 4\r\n\r\nbody");
        Socket caller = mFixture.caller().open(queued);
        assertEquals(CallerStandIn.status(mFixture.get("/other/")), 404);
        disconnection.disconnect(caller);
        assertEquals(CallerStandIn.status(mFixture.get("/other/")), 404);
        behave(Behaviour.RESPOND);
        for (Socket connection : occupying) {
            connection.close();
        }
        GatewayFixture.await(() -> CallerStandIn.status(mFixture.get("/slow/after")) == 200);
        assertEquals(mFixture.seen("/slow/queued"), 0);
    }

    /** Guards against sending a request that was read only after its caller had disconnected. */
    @Test(dataProvider = "disconnections")
    public void unreadRequestIsNotSentAfterCallerDisconnects(
            Disconnection disconnection, boolean closeAfterwards) throws IOException {
        mClock.freeze();
        Socket caller = mFixture.caller().open(request("/slow/unread", closeAfterwards));
        disconnection.disconnect(caller);
        mClock.resume();
        GatewayFixture.await(() -> CallerStandIn.status(mFixture.get("/slow/after")) == 200);
        assertEquals(mFixture.seen("/slow/unread"), 0);
    }

    /** The same on a kept-alive connection that has served a request. */
    @Test(dataProvider = "disconnections")
    public void unreadRequestOnKeptAliveConnectionIsNotSentAfterCallerDisconnects(
            Disconnection disconnection, boolean closeAfterwards) throws IOException {
        Socket caller = mFixture.caller().open(request("/slow/first", false));
        GatewayFixture.await(() -> mFixture.seen("/slow/first") == 1);
        assertEquals(caller.getInputStream().read(), 'H');
        mClock.freeze();
        caller.getOutputStream()
                .write(
                        request("/slow/unread", closeAfterwards)
                                .getBytes(StandardCharsets.ISO_8859_1));
        disconnection.disconnect(caller);
        mClock.resume();
        GatewayFixture.await(() -> CallerStandIn.status(mFixture.get("/slow/after")) == 200);
        assertEquals(mFixture.seen("/slow/unread"), 0);
    }

    /**
     * Guards against sending a queued request whose slot is released before the VM notices that the
     * caller has disconnected.
     */
    @Test(dataProvider = "disconnections")
    public void queuedRequestIsNotSentIfSlotIsReleasedAfterCallerDisconnects(
            Disconnection disconnection, boolean closeAfterwards) throws IOException {
        behave(Behaviour.HANG);
        List<Socket> occupying = occupyAllSlots();
        Socket caller = mFixture.caller().open(request("/slow/queued", closeAfterwards));
        assertEquals(CallerStandIn.status(mFixture.get("/other/")), 404);
        behave(Behaviour.RESPOND);
        mClock.freeze();
        for (Socket connection : occupying) {
            connection.close();
        }
        disconnection.disconnect(caller);
        mClock.resume();
        GatewayFixture.await(() -> CallerStandIn.status(mFixture.get("/slow/after")) == 200);
        assertEquals(mFixture.seen("/slow/queued"), 0);
    }

    /**
     * Guards against an at-most-once request that is delivered after its deadline. It continues
     * after its caller disconnects, because aborting it leaves its effect unknown, but must be
     * aborted at the deadline.
     */
    @Test
    public void lockOfDisconnectedCallerIsAbortedAtDeadline() throws IOException {
        behave(Behaviour.HANG);
        String lock =
                request("/l/left", false)
                        .replace("GET", "POST")
                        .replace(": 60000\r\n", ": 300\r\nContent-Length: 0\r\n");
        Socket caller = mFixture.caller().open(lock);
        GatewayFixture.await(() -> mFixture.seen("/l/left") == 1);
        caller.close();
        // Idle connections are closed as well; the connection of the lock is the last one.
        GatewayFixture.await(() -> closedConnections() == openedConnections());
    }

    /** Returns callers whose requests occupy all slots of hanging targets. */
    private List<Socket> occupyAllSlots() {
        List<Socket> occupying = new ArrayList<>();
        for (int number = 0; number < SLOTS; number++) {
            occupying.add(mFixture.caller().open(request("/slow/busy", false)));
        }
        GatewayFixture.await(() -> mFixture.seen("/slow/busy") == SLOTS);
        return occupying;
    }

    private int openedConnections() {
        return mFixture.mTargets.stream().mapToInt(SigningTargetStandIn::connectionCount).sum();
    }

    private int closedConnections() {
        return mFixture.mTargets.stream()
                .mapToInt(SigningTargetStandIn::closedConnectionCount)
                .sum();
    }

    private void behave(Behaviour behaviour) {
        mFixture.mTargets.forEach(target -> target.setBehaviour(seen -> behaviour));
    }

    private static String request(String path, boolean closeAfterwards) {
        return "GET "
                + path
                + " HTTP/1.1\r\nHost: a.example\r\n"
                + TargetHeaders.ATTEMPT_ID
                + ": gone\r\n"
                + TargetHeaders.REMAINING_MILLIS
                + ": 60000\r\n"
                + (closeAfterwards ? "Connection: close\r\n" : "")
                + "\r\n";
    }
}
