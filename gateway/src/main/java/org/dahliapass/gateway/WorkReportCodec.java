package org.dahliapass.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.dahliapass.decisions.acceptance.AcceptanceCounts;
import org.dahliapass.decisions.availability.AvailabilityStatement;
import org.dahliapass.decisions.limits.LimitReport;
import org.dahliapass.decisions.limits.LimitStatement;
import org.dahliapass.decisions.traffic.Observation;
import org.dahliapass.decisions.traffic.TargetReport;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.routing.TargetRegistration;
import org.dahliapass.wire.message.TargetRest;
import org.dahliapass.wire.message.WorkAtTarget;
import org.dahliapass.wire.message.WorkEnd;

/**
 * Converts target reports between the peer messages and the decision records.
 *
 * <p>Messages contain instances, because an endpoint may be reused by another target, and ages,
 * because the clocks of two VMs differ.
 */
final class WorkReportCodec {
    /** The minimum silence ratio that is accepted from a peer. */
    private static final double MIN_SILENCE_RATIO = 0.1;

    /** More requests than a VM sends to one target between two reports. */
    private static final long MAX_COUNT = 10_000;

    private WorkReportCodec() {}

    /** Encodes the observation of an attempt. */
    static WorkEnd encode(Observation observation) {
        return switch (observation) {
            case ANSWERED -> WorkEnd.WORK_END_ANSWERED;
            case ERROR -> WorkEnd.WORK_END_ERROR;
            case BROKEN -> WorkEnd.WORK_END_BROKEN;
            case SILENT -> WorkEnd.WORK_END_SILENT;
            case LATE -> WorkEnd.WORK_END_LATE;
        };
    }

    /** Decodes the observation of an attempt; empty for a value of a newer release. */
    static Optional<Observation> decode(WorkEnd end) {
        return switch (end) {
            case WORK_END_ANSWERED -> Optional.of(Observation.ANSWERED);
            case WORK_END_ERROR -> Optional.of(Observation.ERROR);
            case WORK_END_BROKEN -> Optional.of(Observation.BROKEN);
            case WORK_END_SILENT -> Optional.of(Observation.SILENT);
            case WORK_END_LATE -> Optional.of(Observation.LATE);
            case WORK_END_UNKNOWN, UNRECOGNIZED -> Optional.empty();
        };
    }

    /**
     * Encodes the remaining times of rests, in milliseconds; those of other targets are omitted.
     */
    static List<TargetRest> encodeRests(
            Map<Endpoint, Long> rests, Map<Endpoint, TargetRegistration> targets) {
        List<TargetRest> encoded = new ArrayList<>();
        rests.forEach(
                (endpoint, remainingMillis) -> {
                    TargetRegistration target = targets.get(endpoint);
                    if (target != null) {
                        encoded.add(
                                TargetRest.newBuilder()
                                        .setInstance(target.incarnation())
                                        .setRemainingMillis(remainingMillis.intValue())
                                        .build());
                    }
                });
        return encoded;
    }

    /**
     * Decodes the remaining times of rests, in milliseconds; those of other targets are omitted and
     * those that no VM sends are limited.
     */
    static Map<Endpoint, Long> decodeRests(
            List<TargetRest> rests, Map<String, TargetRegistration> byIncarnation) {
        Map<Endpoint, Long> decoded = new HashMap<>();
        for (TargetRest rest : rests) {
            TargetRegistration target = byIncarnation.get(rest.getInstance());
            if (target != null) {
                long remainingMillis = Integer.toUnsignedLong(rest.getRemainingMillis());
                decoded.put(
                        target.endpoint(),
                        Math.min(remainingMillis, AvailabilityStatement.MAX_REST.toMillis()));
            }
        }
        return decoded;
    }

    /** Encodes reports on registered targets; reports on other targets are omitted. */
    static List<WorkAtTarget> encode(
            List<TargetReport> reports, Map<Endpoint, TargetRegistration> targets, long nowMillis) {
        List<WorkAtTarget> encoded = new ArrayList<>();
        for (TargetReport targetReport : reports) {
            TargetRegistration target = targets.get(targetReport.target());
            if (target != null) {
                encoded.add(encode(target.incarnation(), targetReport, nowMillis));
            }
        }
        return encoded;
    }

    private static WorkAtTarget encode(String instance, TargetReport targetReport, long nowMillis) {
        WorkAtTarget.Builder encoded =
                WorkAtTarget.newBuilder()
                        .setInstance(instance)
                        .setInFlight(targetReport.inFlight())
                        .setSilence((float) targetReport.silenceRatio())
                        .setAccepted(targetReport.acceptance().accepted())
                        .setRejected(targetReport.acceptance().rejected());
        targetReport
                .lastAnsweredMillis()
                .ifPresent(
                        lastAnswered ->
                                encoded.setProvenAgeMillis(
                                        (int) Math.max(0, nowMillis - lastAnswered)));
        targetReport.limit().ifPresent(limit -> encodeLimit(encoded, limit, nowMillis));
        return encoded.build();
    }

    private static void encodeLimit(
            WorkAtTarget.Builder encoded, LimitReport limit, long nowMillis) {
        encoded.setLimitAgeMillis((int) Math.max(0, nowMillis - limit.statedMillis()));
        if (limit.statement() instanceof LimitStatement.Limited limited) {
            encoded.setRequestLimit(limited.requestsPerSecond());
        }
    }

    /** Decodes reports on registered targets; reports on other targets are omitted. */
    static List<TargetReport> decode(
            List<WorkAtTarget> reports,
            Map<String, TargetRegistration> byIncarnation,
            long nowMillis) {
        List<TargetReport> decoded = new ArrayList<>();
        for (WorkAtTarget targetReport : reports) {
            TargetRegistration target = byIncarnation.get(targetReport.getInstance());
            if (target != null) {
                decoded.add(decode(target.endpoint(), targetReport, nowMillis));
            }
        }
        return decoded;
    }

    private static TargetReport decode(Endpoint target, WorkAtTarget targetReport, long nowMillis) {
        OptionalLong lastAnswered =
                targetReport.hasProvenAgeMillis()
                        ? OptionalLong.of(nowMillis - targetReport.getProvenAgeMillis())
                        : OptionalLong.empty();
        // A malformed report must not hide a silent target.
        double silenceRatio = Math.max(MIN_SILENCE_RATIO, targetReport.getSilence());
        return new TargetReport(
                target,
                targetReport.getInFlight(),
                silenceRatio,
                lastAnswered,
                decodeLimit(targetReport, nowMillis),
                decodeAcceptance(targetReport));
    }

    /** Decodes the counts; those that no VM sends are limited. */
    private static AcceptanceCounts decodeAcceptance(WorkAtTarget targetReport) {
        return new AcceptanceCounts(
                limitedCount(targetReport.getAccepted()), limitedCount(targetReport.getRejected()));
    }

    private static int limitedCount(int count) {
        return (int) Math.min(MAX_COUNT, Integer.toUnsignedLong(count));
    }

    /** Decodes a limit; empty if there is none or its value isn't possible. */
    private static Optional<LimitReport> decodeLimit(WorkAtTarget targetReport, long nowMillis) {
        if (!targetReport.hasLimitAgeMillis() || targetReport.getLimitAgeMillis() < 0) {
            return Optional.empty();
        }
        long statedMillis = nowMillis - targetReport.getLimitAgeMillis();
        if (!targetReport.hasRequestLimit()) {
            return Optional.of(new LimitReport(LimitStatement.UNLIMITED, statedMillis));
        }
        double limit = targetReport.getRequestLimit();
        return Double.isFinite(limit) && limit >= 0
                ? Optional.of(new LimitReport(new LimitStatement.Limited(limit), statedMillis))
                : Optional.empty();
    }
}
