package org.dahliapass.decisions.traffic;

import java.util.Optional;
import java.util.OptionalLong;
import org.dahliapass.decisions.acceptance.AcceptanceCounts;
import org.dahliapass.decisions.limits.LimitReport;
import org.dahliapass.model.Endpoint;

/**
 * One VM's report on a target in a periodic update.
 *
 * @param target the target
 * @param inFlight the VM's requests in flight to the target
 * @param silenceRatio the likelihood ratio of their missing responses at a failing and at a healthy
 *     target
 * @param lastAnsweredMillis when the latest request with a response was sent, in milliseconds;
 *     empty if there is none
 * @param limit what the target's responses said of its request limit; empty for nothing new
 * @param acceptance the VM's requests that the target accepted and rejected since its last report,
 *     if it sheds or rejected one lately
 */
public record TargetReport(
        Endpoint target,
        int inFlight,
        double silenceRatio,
        OptionalLong lastAnsweredMillis,
        Optional<LimitReport> limit,
        AcceptanceCounts acceptance) {
    /** The silence ratio of a target without requests in flight. */
    public static final double NO_SILENCE = 1;

    /** Creates a report without a limit. */
    public TargetReport(
            Endpoint target, int inFlight, double silenceRatio, OptionalLong lastAnsweredMillis) {
        this(target, inFlight, silenceRatio, lastAnsweredMillis, Optional.empty());
    }

    /** Creates a report without acceptances and rejections. */
    public TargetReport(
            Endpoint target,
            int inFlight,
            double silenceRatio,
            OptionalLong lastAnsweredMillis,
            Optional<LimitReport> limit) {
        this(target, inFlight, silenceRatio, lastAnsweredMillis, limit, AcceptanceCounts.NONE);
    }

    /** Returns this report without the silence of the requests in flight. */
    public TargetReport withoutSilence() {
        return new TargetReport(
                target, inFlight, NO_SILENCE, lastAnsweredMillis, limit, acceptance);
    }

    /** Returns this report with another number of requests in flight. */
    public TargetReport withInFlight(int newInFlight) {
        return new TargetReport(
                target, newInFlight, silenceRatio, lastAnsweredMillis, limit, acceptance);
    }

    /** Returns this report with what the target's responses said of its request limit. */
    public TargetReport withLimit(Optional<LimitReport> newLimit) {
        return new TargetReport(
                target, inFlight, silenceRatio, lastAnsweredMillis, newLimit, acceptance);
    }

    /** Returns this report with the requests that the target accepted and rejected. */
    public TargetReport withAcceptance(AcceptanceCounts newAcceptance) {
        return new TargetReport(
                target, inFlight, silenceRatio, lastAnsweredMillis, limit, newAcceptance);
    }
}
