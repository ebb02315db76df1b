package org.dahliapass.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.dahliapass.standins.CallerStandIn;
import org.dahliapass.standins.SigningTargetStandIn;
import org.dahliapass.standins.SigningTargetStandIn.Behaviour;
import org.dahliapass.standins.SigningTargetStandIn.ReceivedRequest;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of requests that are sent to the same target again, since no other one is left. */
public final class ResentRequestTest {
    /** Enough for one of two targets to receive a request. */
    private static final int MAX_REQUESTS = 100;

    private GatewayFixture mFixture;

    /** The connection on which the first target received each request first, by request line. */
    private final Map<String, Integer> mFirstConnections = new ConcurrentHashMap<>();

    @BeforeMethod
    public void start() {
        mFixture = new GatewayFixture();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        mFixture.close();
        mFirstConnections.clear();
    }

    /** The request, the first answer, and what follows if the connection carries it again. */
    @DataProvider
    public Object[][] copiedAnswers() {
        return new Object[][] {
            {"POST /l/", Behaviour.SHED, Behaviour.SHED_AND_RESPOND},
            {"GET /r/", Behaviour.SHED, Behaviour.SHED_AND_RESPOND},
            {"POST /l/", Behaviour.MISDIRECTED, Behaviour.MISDIRECTED_AND_RESPOND},
            {"GET /r/", Behaviour.MISDIRECTED, Behaviour.MISDIRECTED_AND_RESPOND},
            {"GET /r/", Behaviour.FAIL, Behaviour.FAIL_AND_RESPOND},
        };
    }

    /** Guards against a copy of the first answer that is taken for the answer to the second. */
    @Test(dataProvider = "copiedAnswers")
    public void secondSendIsNotAnsweredByACopyOfTheFirstAnswer(
            String line, Behaviour first, Behaviour copied) {
        SigningTargetStandIn faulty = mFixture.mTargets.get(0);
        faulty.setBehaviour(request -> answer(request, first, copied));
        String response = "";
        for (int number = 0; number < MAX_REQUESTS && mFirstConnections.isEmpty(); number++) {
            response = mFixture.caller().send(line + number, "id-" + number, "");
        }
        List<ReceivedRequest> received =
                faulty.receivedRequests().stream()
                        .filter(request -> mFirstConnections.containsKey(request.requestLine()))
                        .toList();
        assertEquals(received.size(), 2, log());
        assertEquals(CallerStandIn.status(response), 200, log());
    }

    /** Guards against a refusal without an attempt id, which may belong to an earlier request. */
    @Test
    public void refusalWithoutAttemptIdIsNoProof() {
        mFixture.mTargets.forEach(
                target -> target.setBehaviour(request -> Behaviour.SHED_WITHOUT_ID));
        assertEquals(CallerStandIn.status(mFixture.post("/l/x", "")), 502, log());
        assertEquals(mFixture.seen("/l/x"), 1);
    }

    /** Guards against new connections for each request to a target that refuses some of them. */
    @Test
    public void connectionThatCarriedARefusedRequestIsKeptForOthers() {
        mFixture.mTargets.forEach(target -> target.setBehaviour(request -> Behaviour.SHED));
        int before = connections();
        for (int number = 0; number < 50; number++) {
            assertEquals(CallerStandIn.status(mFixture.post("/l/" + number, "")), 503);
        }
        assertTrue(connections() - before <= mFixture.mTargets.size(), "new: " + connections());
    }

    private int connections() {
        return mFixture.mTargets.stream().mapToInt(SigningTargetStandIn::connectionCount).sum();
    }

    /** Refuses the first request, whereupon the other target ends, and copies that answer later. */
    private Behaviour answer(ReceivedRequest request, Behaviour first, Behaviour copied) {
        Integer connection = mFirstConnections.get(request.requestLine());
        if (connection != null) {
            return connection == request.connection() ? copied : Behaviour.RESPOND;
        }
        if (!mFirstConnections.isEmpty()) {
            return Behaviour.RESPOND;
        }
        mFirstConnections.put(request.requestLine(), request.connection());
        mFixture.mTargets.get(1).close();
        return first;
    }

    private String log() {
        return mFixture.mLogOutput.toString(StandardCharsets.UTF_8);
    }
}
