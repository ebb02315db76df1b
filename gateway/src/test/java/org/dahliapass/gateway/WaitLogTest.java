package org.dahliapass.gateway;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Tests of {@link WaitLog}. */
public final class WaitLogTest {
    @Test
    public void waitsAreSummedByCause() {
        WaitLog waits = new WaitLog();
        waits.start(WaitLog.Cause.BODY, 100);
        waits.start(WaitLog.Cause.SLOT, 100);
        waits.start(WaitLog.Cause.DIGEST, 130);
        waits.start(WaitLog.Cause.SLOT, 150);
        waits.end(160);
        waits.end(190);
        assertEquals(waits.toJson(200).toString(), "{\"digest\":20,\"slot\":40}");
        waits.start(WaitLog.Cause.CONFIGURATION, 200);
        assertEquals(
                waits.toJson(205).toString(), "{\"configuration\":5,\"digest\":20,\"slot\":40}");
    }
}
