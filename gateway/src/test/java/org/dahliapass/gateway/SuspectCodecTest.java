package org.dahliapass.gateway;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.dahliapass.decisions.poison.SuspectReport;
import org.dahliapass.decisions.poison.TargetCrash;
import org.dahliapass.model.RequestDigest;
import org.testng.annotations.Test;

/** Tests of {@link SuspectCodec}. */
public final class SuspectCodecTest {
    /** Guards against ends that change their order between VMs whose clocks differ. */
    @Test
    public void endsKeepTheirAgeOnAnotherClock() {
        SuspectReport news =
                new SuspectReport(
                        new RequestDigest(-1, Long.MAX_VALUE),
                        List.of(new TargetCrash("i-1@7", 1_000, 1_080)),
                        true,
                        false);
        SuspectReport decoded = SuspectCodec.decode(SuspectCodec.encode(news, 1_100), 50_100);
        assertEquals(
                decoded,
                new SuspectReport(
                        news.digest(),
                        List.of(new TargetCrash("i-1@7", 50_000, 50_080)),
                        true,
                        false));
    }
}
