package org.dahliapass.gateway;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.dahliapass.decisions.traffic.TargetReport;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.routing.TargetRegistration;
import org.dahliapass.wire.message.WorkAtTarget;
import org.testng.annotations.Test;

/** Tests of {@link WorkReportCodec}. */
public final class WorkReportCodecTest {
    private static final Endpoint HERE = new Endpoint("10.0.0.1", 80);
    private static final Endpoint THERE = new Endpoint("10.0.0.2", 80);
    private static final long SENT = 5_000;
    private static final long RECEIVED = 90_000;

    /** The receiver's clock is far from the sender's, and only ages may count. */
    @Test
    public void ageOfAProofSurvivesAnotherClock() {
        List<WorkAtTarget> message = WorkReportCodec.encode(report(HERE), at(HERE, "i-1"), SENT);
        assertEquals(
                WorkReportCodec.decode(message, named(HERE, "i-1"), RECEIVED),
                List.of(new TargetReport(HERE, 2, 11, OptionalLong.of(RECEIVED - 400))));
    }

    /** A target ended and another one took its address: the report must not speak of that one. */
    @Test
    public void reportFollowsTheInstanceNotTheAddress() {
        List<WorkAtTarget> message = WorkReportCodec.encode(report(HERE), at(HERE, "i-1"), SENT);
        assertEquals(WorkReportCodec.decode(message, named(HERE, "i-2"), RECEIVED), List.of());
        assertEquals(
                WorkReportCodec.decode(message, named(THERE, "i-1"), RECEIVED).get(0).target(),
                THERE);
    }

    @Test
    public void workAtATargetThatIsGoneIsNotTold() {
        assertEquals(WorkReportCodec.encode(report(HERE), Map.of(), SENT), List.of());
    }

    @Test
    public void workWithoutAProofHasNone() {
        TargetReport unproven = new TargetReport(HERE, 1, 1, OptionalLong.empty());
        List<WorkAtTarget> message =
                WorkReportCodec.encode(List.of(unproven), at(HERE, "i-1"), SENT);
        assertEquals(
                WorkReportCodec.decode(message, named(HERE, "i-1"), RECEIVED), List.of(unproven));
    }

    private static List<TargetReport> report(Endpoint target) {
        return List.of(new TargetReport(target, 2, 11, OptionalLong.of(SENT - 400)));
    }

    private static Map<Endpoint, TargetRegistration> at(Endpoint address, String instance) {
        return Map.of(address, registration(address, instance));
    }

    private static Map<String, TargetRegistration> named(Endpoint address, String instance) {
        TargetRegistration target = registration(address, instance);
        return Map.of(target.incarnation(), target);
    }

    private static TargetRegistration registration(Endpoint address, String instance) {
        return new TargetRegistration(
                instance, "x", address, "zone-a", "v1", 3, false, Duration.ZERO, 0);
    }
}
