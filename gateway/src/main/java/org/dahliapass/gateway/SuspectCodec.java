package org.dahliapass.gateway;

import org.dahliapass.decisions.poison.SuspectReport;
import org.dahliapass.decisions.poison.TargetCrash;
import org.dahliapass.model.RequestDigest;
import org.dahliapass.wire.message.SuspectRequest;

/**
 * Converts suspect reports between the peer messages and the decision records.
 *
 * <p>Messages contain ages, because the clocks of two VMs differ.
 */
final class SuspectCodec {
    private SuspectCodec() {}

    /** Encodes a report of this VM. */
    static SuspectRequest encode(SuspectReport report, long nowMillis) {
        SuspectRequest.Builder encoded =
                SuspectRequest.newBuilder()
                        .setDigestHigh(report.digest().high())
                        .setDigestLow(report.digest().low())
                        .setQuarantined(report.quarantined())
                        .setAnswered(report.answered());
        for (TargetCrash crash : report.crashes()) {
            encoded.addEnds(
                    org.dahliapass.wire.message.TargetEnd.newBuilder()
                            .setInstance(crash.incarnation())
                            .setSentAgeMillis(age(crash.sentMillis(), nowMillis))
                            .setEndedAgeMillis(age(crash.crashedMillis(), nowMillis)));
        }
        return encoded.build();
    }

    private static int age(long millis, long nowMillis) {
        return (int) Math.min(Integer.MAX_VALUE, Math.max(0, nowMillis - millis));
    }

    /** Decodes a report of another VM. */
    static SuspectReport decode(SuspectRequest encoded, long nowMillis) {
        return new SuspectReport(
                new RequestDigest(encoded.getDigestHigh(), encoded.getDigestLow()),
                encoded.getEndsList().stream()
                        .map(
                                crash ->
                                        new TargetCrash(
                                                crash.getInstance(),
                                                nowMillis - crash.getSentAgeMillis(),
                                                nowMillis - crash.getEndedAgeMillis()))
                        .toList(),
                encoded.getQuarantined(),
                encoded.getAnswered());
    }
}
