package org.dahliapass.gateway;

import org.dahliapass.decisions.poison.SuspectReport;
import org.dahliapass.decisions.poison.TargetCrash;
import org.dahliapass.model.RequestDigest;
import org.dahliapass.wire.message.SuspectRequest;

/**
 * Translates news of suspected requests between the VMs' messages and the decisions' records.
 *
 * <p>Messages tell ages, since the clocks of two VMs differ.
 */
final class SuspectCodec {
    private SuspectCodec() {}

    /** Encodes what this VM knows. */
    static SuspectRequest encode(SuspectReport news, long nowMillis) {
        SuspectRequest.Builder encoded =
                SuspectRequest.newBuilder()
                        .setDigestHigh(news.digest().high())
                        .setDigestLow(news.digest().low())
                        .setQuarantined(news.quarantined())
                        .setAnswered(news.answered());
        for (TargetCrash end : news.crashes()) {
            encoded.addEnds(
                    org.dahliapass.wire.message.TargetEnd.newBuilder()
                            .setInstance(end.incarnation())
                            .setSentAgeMillis(age(end.sentMillis(), nowMillis))
                            .setEndedAgeMillis(age(end.crashedMillis(), nowMillis)));
        }
        return encoded.build();
    }

    private static int age(long millis, long nowMillis) {
        return (int) Math.min(Integer.MAX_VALUE, Math.max(0, nowMillis - millis));
    }

    /** Decodes what another VM knows. */
    static SuspectReport decode(SuspectRequest encoded, long nowMillis) {
        return new SuspectReport(
                new RequestDigest(encoded.getDigestHigh(), encoded.getDigestLow()),
                encoded.getEndsList().stream()
                        .map(
                                end ->
                                        new TargetCrash(
                                                end.getInstance(),
                                                nowMillis - end.getSentAgeMillis(),
                                                nowMillis - end.getEndedAgeMillis()))
                        .toList(),
                encoded.getQuarantined(),
                encoded.getAnswered());
    }
}
