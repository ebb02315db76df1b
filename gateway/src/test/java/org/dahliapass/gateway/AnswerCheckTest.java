package org.dahliapass.gateway;

import static org.testng.Assert.assertEquals;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.dahliapass.platform.TargetHeaders;
import org.testng.annotations.Test;

/** Tests of {@link AnswerCheck}. */
public final class AnswerCheckTest {
    private static final String ID = "9c41d07be2a35f68";

    @Test
    public void signedAnswerToThisRequestIsPassedOn() {
        assertEquals(AnswerCheck.of(200, signed(ID), ID), AnswerCheck.OWN);
    }

    @Test
    public void targetsOwnFailureIsPassedOn() {
        assertEquals(AnswerCheck.of(500, signed(ID), ID), AnswerCheck.OWN);
    }

    /**
     * A caller would get the answer to somebody else's request. A target sends an answer twice; the
     * second copy waits on the connection and comes first when the next request is sent there.
     */
    @Test
    public void answerToAnotherRequestIsForeign() {
        assertEquals(AnswerCheck.of(200, signed("other"), ID), AnswerCheck.FOREIGN);
    }

    /** The late copy of a refusal must not be read as the refusal of the next request. */
    @Test
    public void refusalOfAnotherRequestIsForeign() {
        HttpHeaders late =
                new DefaultHttpHeaders()
                        .set(TargetHeaders.ATTEMPT_ID, "other")
                        .set(TargetHeaders.NOT_EXECUTED, "1");
        assertEquals(AnswerCheck.of(503, late, ID), AnswerCheck.FOREIGN);
    }

    @Test
    public void refusalProvesThatItDidNotRun() {
        HttpHeaders refusal =
                new DefaultHttpHeaders()
                        .set(TargetHeaders.ATTEMPT_ID, ID)
                        .set(TargetHeaders.NOT_EXECUTED, "1");
        assertEquals(AnswerCheck.of(503, refusal, ID), AnswerCheck.NOT_RUN);
    }

    @Test
    public void anotherInstanceAtTheAddressDidNotRunIt() {
        assertEquals(AnswerCheck.of(421, new DefaultHttpHeaders(), ID), AnswerCheck.NOT_RUN);
    }

    @Test
    public void refusalWithoutTheStatementProvesNothing() {
        assertEquals(AnswerCheck.of(503, new DefaultHttpHeaders(), ID), AnswerCheck.SPOILED);
    }

    @Test
    public void successWithTheStatementIsNoRefusal() {
        HttpHeaders odd = signed(ID).set(TargetHeaders.NOT_EXECUTED, "1");
        assertEquals(AnswerCheck.of(200, odd, ID), AnswerCheck.OWN);
    }

    @Test
    public void unsignedSuccessIsSpoiled() {
        HttpHeaders unsigned = new DefaultHttpHeaders().set(TargetHeaders.ATTEMPT_ID, ID);
        assertEquals(AnswerCheck.of(200, unsigned, ID), AnswerCheck.SPOILED);
    }

    @Test
    public void encodedBodyIsNotTheTargetsBody() {
        HttpHeaders encoded = signed(ID).set(HttpHeaderNames.CONTENT_ENCODING, "gzip");
        assertEquals(AnswerCheck.of(200, encoded, ID), AnswerCheck.SPOILED);
    }

    private static HttpHeaders signed(String id) {
        return new DefaultHttpHeaders()
                .set(TargetHeaders.ATTEMPT_ID, id)
                .set(TargetHeaders.SIGNATURE, "3e1b.07");
    }
}
