package org.dahliapass.gateway;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.dahliapass.decisions.poison.SuspectNews;
import org.dahliapass.decisions.poison.TargetEnd;
import org.dahliapass.model.RequestDigest;
import org.testng.annotations.Test;

/** Tests of {@link SuspectCodec}. */
public final class SuspectCodecTest {
    /** Guards against ends that change their order between VMs whose clocks differ. */
    @Test
    public void endsKeepTheirAgeOnAnotherClock() {
        SuspectNews news =
                new SuspectNews(
                        new RequestDigest(-1, Long.MAX_VALUE),
                        List.of(new TargetEnd("i-1@7", 1_000, 1_080)),
                        true,
                        false);
        SuspectNews decoded = SuspectCodec.decode(SuspectCodec.encode(news, 1_100), 50_100);
        assertEquals(
                decoded,
                new SuspectNews(
                        news.digest(),
                        List.of(new TargetEnd("i-1@7", 50_000, 50_080)),
                        true,
                        false));
    }
}
