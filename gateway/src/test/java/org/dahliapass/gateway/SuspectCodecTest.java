package org.dahliapass.gateway;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.dahliapass.decisions.poison.SuspectReport;
import org.dahliapass.decisions.poison.TargetCrash;
import org.dahliapass.model.RequestDigest;
import org.testng.annotations.Test;

/** Tests of {@link SuspectCodec}. */
public final class SuspectCodecTest {
    /** Guards against crashes whose order differs between VMs with different clocks. */
    @Test
    public void agesArePreservedAcrossClocks() {
        SuspectReport report =
                new SuspectReport(
                        new RequestDigest(-1, Long.MAX_VALUE),
                        List.of(new TargetCrash("i-1@7", 1_000, 1_080)),
                        true,
                        false);
        SuspectReport decoded = SuspectCodec.decode(SuspectCodec.encode(report, 1_100), 50_100);
        assertEquals(
                decoded,
                new SuspectReport(
                        report.digest(),
                        List.of(new TargetCrash("i-1@7", 50_000, 50_080)),
                        true,
                        false));
    }
}
