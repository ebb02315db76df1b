package org.dahliapass.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.dahliapass.decisions.traffic.Observation;
import org.dahliapass.decisions.traffic.TargetReport;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.routing.TargetRegistration;
import org.dahliapass.wire.message.WorkAtTarget;
import org.dahliapass.wire.message.WorkEnd;

/**
 * Translates reports of work at targets between the VMs' messages and the decisions' records.
 *
 * <p>Messages name instances, since an address may belong to another target by now, and ages, since
 * the clocks of two VMs differ.
 */
final class WorkReportCodec {
    /** The least that a report may make of the odds of a bout. */
    private static final double LEAST_SILENCE = 0.1;

    private WorkReportCodec() {}

    /** Encodes how a piece of work ended. */
    static WorkEnd encode(Observation sign) {
        return switch (sign) {
            case ANSWERED -> WorkEnd.WORK_END_ANSWERED;
            case ERROR -> WorkEnd.WORK_END_ERROR;
            case BROKEN -> WorkEnd.WORK_END_BROKEN;
            case SILENT -> WorkEnd.WORK_END_SILENT;
            case LATE -> WorkEnd.WORK_END_LATE;
        };
    }

    /** Decodes how a piece of work ended; empty for an end that only a newer release knows. */
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

    /** Encodes the work at targets that are registered; work at others is left out. */
    static List<WorkAtTarget> encode(
            List<TargetReport> report, Map<Endpoint, TargetRegistration> targets, long nowMillis) {
        List<WorkAtTarget> encoded = new ArrayList<>();
        for (TargetReport work : report) {
            TargetRegistration target = targets.get(work.target());
            if (target != null) {
                encoded.add(encode(target.incarnation(), work, nowMillis));
            }
        }
        return encoded;
    }

    private static WorkAtTarget encode(String instance, TargetReport work, long nowMillis) {
        WorkAtTarget.Builder encoded =
                WorkAtTarget.newBuilder()
                        .setInstance(instance)
                        .setInFlight(work.inFlight())
                        .setSilence((float) work.silenceRatio());
        work.lastAnsweredMillis()
                .ifPresent(
                        proven ->
                                encoded.setProvenAgeMillis((int) Math.max(0, nowMillis - proven)));
        return encoded.build();
    }

    /** Decodes the work at instances that are registered here; what is unknown is left out. */
    static List<TargetReport> decode(
            List<WorkAtTarget> report,
            Map<String, TargetRegistration> byIncarnation,
            long nowMillis) {
        List<TargetReport> decoded = new ArrayList<>();
        for (WorkAtTarget work : report) {
            TargetRegistration target = byIncarnation.get(work.getInstance());
            if (target != null) {
                decoded.add(decode(target.endpoint(), work, nowMillis));
            }
        }
        return decoded;
    }

    private static TargetReport decode(Endpoint target, WorkAtTarget work, long nowMillis) {
        OptionalLong proven =
                work.hasProvenAgeMillis()
                        ? OptionalLong.of(nowMillis - work.getProvenAgeMillis())
                        : OptionalLong.empty();
        // No silence speaks for a target by much: a broken report must not hide one that is silent.
        double silence = Math.max(LEAST_SILENCE, work.getSilence());
        return new TargetReport(target, work.getInFlight(), silence, proven);
    }
}
