package org.dahliapass.gateway;

import static org.testng.Assert.assertEquals;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.dahliapass.platform.TargetHeaders;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link ResponseCheck}. */
public final class ResponseCheckTest {
    private static final String ID = "9c41d07be2a35f68";

    @Test
    public void signedResponseIsValid() {
        assertEquals(ResponseCheck.of(200, signed(ID), ID), ResponseCheck.VALID);
    }

    @Test
    public void signedServerErrorIsValid() {
        assertEquals(ResponseCheck.of(500, signed(ID), ID), ResponseCheck.VALID);
    }

    /**
     * Guards against a response that reaches the wrong caller: a target sends a response twice, and
     * the second copy precedes the response to the next request on the connection.
     */
    @Test
    public void responseToAnotherRequestIsMismatched() {
        assertEquals(ResponseCheck.of(200, signed("other"), ID), ResponseCheck.MISMATCHED);
    }

    /** A duplicate refusal must not count as the refusal of the next request. */
    @Test
    public void refusalOfAnotherRequestIsMismatched() {
        HttpHeaders headers =
                new DefaultHttpHeaders()
                        .set(TargetHeaders.ATTEMPT_ID, "other")
                        .set(TargetHeaders.NOT_EXECUTED, "1");
        assertEquals(ResponseCheck.of(503, headers, ID), ResponseCheck.MISMATCHED);
    }

    @Test
    public void refusalMeansNotExecuted() {
        HttpHeaders headers =
                new DefaultHttpHeaders()
                        .set(TargetHeaders.ATTEMPT_ID, ID)
                        .set(TargetHeaders.NOT_EXECUTED, "1");
        assertEquals(ResponseCheck.of(503, headers, ID), ResponseCheck.NOT_EXECUTED);
    }

    @Test
    public void misdirectedRequestIsNotExecuted() {
        HttpHeaders headers = new DefaultHttpHeaders().set(TargetHeaders.ATTEMPT_ID, ID);
        assertEquals(ResponseCheck.of(421, headers, ID), ResponseCheck.NOT_EXECUTED);
    }

    @DataProvider
    public Object[][] refusalStatuses() {
        return new Object[][] {{503}, {429}, {421}, {400}};
    }

    /** A refusal without an id may be a copy of the refusal of an earlier request. */
    @Test(dataProvider = "refusalStatuses")
    public void refusalWithoutAttemptIdIsInvalid(int status) {
        HttpHeaders headers = new DefaultHttpHeaders().set(TargetHeaders.NOT_EXECUTED, "1");
        assertEquals(ResponseCheck.of(status, headers, ID), ResponseCheck.INVALID);
    }

    @Test
    public void refusalWithoutNotExecutedHeaderIsInvalid() {
        HttpHeaders headers = new DefaultHttpHeaders().set(TargetHeaders.ATTEMPT_ID, ID);
        assertEquals(ResponseCheck.of(503, headers, ID), ResponseCheck.INVALID);
    }

    @Test
    public void successWithNotExecutedHeaderIsValid() {
        HttpHeaders headers = signed(ID).set(TargetHeaders.NOT_EXECUTED, "1");
        assertEquals(ResponseCheck.of(200, headers, ID), ResponseCheck.VALID);
    }

    @Test
    public void unsignedSuccessIsInvalid() {
        HttpHeaders headers = new DefaultHttpHeaders().set(TargetHeaders.ATTEMPT_ID, ID);
        assertEquals(ResponseCheck.of(200, headers, ID), ResponseCheck.INVALID);
    }

    @Test
    public void encodedBodyIsInvalid() {
        HttpHeaders headers = signed(ID).set(HttpHeaderNames.CONTENT_ENCODING, "gzip");
        assertEquals(ResponseCheck.of(200, headers, ID), ResponseCheck.INVALID);
    }

    private static HttpHeaders signed(String id) {
        return new DefaultHttpHeaders()
                .set(TargetHeaders.ATTEMPT_ID, id)
                .set(TargetHeaders.SIGNATURE, "3e1b.07");
    }
}
