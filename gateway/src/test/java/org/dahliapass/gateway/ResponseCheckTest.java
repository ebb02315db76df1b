package org.dahliapass.gateway;

import static org.testng.Assert.assertEquals;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.dahliapass.platform.TargetHeaders;
import org.testng.annotations.Test;

/** Tests of {@link ResponseCheck}. */
public final class ResponseCheckTest {
    private static final String ID = "9c41d07be2a35f68";

    @Test
    public void signedAnswerToThisRequestIsPassedOn() {
        assertEquals(ResponseCheck.of(200, signed(ID), ID), ResponseCheck.VALID);
    }

    @Test
    public void targetsOwnFailureIsPassedOn() {
        assertEquals(ResponseCheck.of(500, signed(ID), ID), ResponseCheck.VALID);
    }

    /**
     * A caller would get the answer to somebody else's request. A target sends an answer twice; the
     * second copy waits on the connection and comes first when the next request is sent there.
     */
    @Test
    public void answerToAnotherRequestIsForeign() {
        assertEquals(ResponseCheck.of(200, signed("other"), ID), ResponseCheck.MISMATCHED);
    }

    /** The late copy of a refusal must not be read as the refusal of the next request. */
    @Test
    public void refusalOfAnotherRequestIsForeign() {
        HttpHeaders late =
                new DefaultHttpHeaders()
                        .set(TargetHeaders.ATTEMPT_ID, "other")
                        .set(TargetHeaders.NOT_EXECUTED, "1");
        assertEquals(ResponseCheck.of(503, late, ID), ResponseCheck.MISMATCHED);
    }

    @Test
    public void refusalProvesThatItDidNotRun() {
        HttpHeaders refusal =
                new DefaultHttpHeaders()
                        .set(TargetHeaders.ATTEMPT_ID, ID)
                        .set(TargetHeaders.NOT_EXECUTED, "1");
        assertEquals(ResponseCheck.of(503, refusal, ID), ResponseCheck.NOT_EXECUTED);
    }

    @Test
    public void anotherInstanceAtTheAddressDidNotRunIt() {
        assertEquals(
                ResponseCheck.of(421, new DefaultHttpHeaders(), ID), ResponseCheck.NOT_EXECUTED);
    }

    @Test
    public void refusalWithoutTheStatementProvesNothing() {
        assertEquals(ResponseCheck.of(503, new DefaultHttpHeaders(), ID), ResponseCheck.INVALID);
    }

    @Test
    public void successWithTheStatementIsNoRefusal() {
        HttpHeaders odd = signed(ID).set(TargetHeaders.NOT_EXECUTED, "1");
        assertEquals(ResponseCheck.of(200, odd, ID), ResponseCheck.VALID);
    }

    @Test
    public void unsignedSuccessIsSpoiled() {
        HttpHeaders unsigned = new DefaultHttpHeaders().set(TargetHeaders.ATTEMPT_ID, ID);
        assertEquals(ResponseCheck.of(200, unsigned, ID), ResponseCheck.INVALID);
    }

    @Test
    public void encodedBodyIsNotTheTargetsBody() {
        HttpHeaders encoded = signed(ID).set(HttpHeaderNames.CONTENT_ENCODING, "gzip");
        assertEquals(ResponseCheck.of(200, encoded, ID), ResponseCheck.INVALID);
    }

    private static HttpHeaders signed(String id) {
        return new DefaultHttpHeaders()
                .set(TargetHeaders.ATTEMPT_ID, id)
                .set(TargetHeaders.SIGNATURE, "3e1b.07");
    }
}
