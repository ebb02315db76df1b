package org.dahliapass.gateway;

import static org.testng.Assert.assertEquals;

import org.dahliapass.standins.CallerStandIn;
import org.dahliapass.standins.SigningTargetStandIn.Behaviour;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests what callers get from a target whose response the protocol does not allow. */
public final class GatewayInvalidResponseTest {
    private GatewayFixture mFixture;

    @BeforeMethod
    public void start() {
        mFixture = new GatewayFixture();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        mFixture.close();
    }

    @DataProvider
    public Object[][] invalidResponses() {
        return new Object[][] {
            {Behaviour.RESPOND_STATUS_ZERO},
            {Behaviour.RESPOND_BLANK_IN_FIELD_NAME},
            {Behaviour.RESPOND_BLANK_IN_LENGTH_NAME},
            {Behaviour.RESPOND_CONTROL_BYTE_IN_FIELD_NAME},
            {Behaviour.RESPOND_CONTROL_BYTE_IN_CHUNK_SIZE},
            {Behaviour.TRUNCATE_HEAD},
        };
    }

    /** Guards against an invalid response that a caller gets as an answer. */
    @Test(dataProvider = "invalidResponses")
    public void requestFails(Behaviour behaviour) {
        mFixture.mTargets.forEach(target -> target.setBehaviour(request -> behaviour));
        assertEquals(CallerStandIn.status(mFixture.post("/l/invalid", "x")), 502);
        assertEquals(mFixture.seen("/l/invalid"), 1);
    }

    /** Guards against an invalid response that ends a request another target can serve. */
    @Test(dataProvider = "invalidResponses")
    public void repeatableRequestIsServedByAnotherTarget(Behaviour behaviour) {
        mFixture.mTargets.get(0).setBehaviour(request -> behaviour);
        assertEquals(CallerStandIn.status(mFixture.get("/r/invalid")), 200);
    }
}
