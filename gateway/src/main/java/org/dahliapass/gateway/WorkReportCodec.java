package org.dahliapass.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.dahliapass.decisions.traffic.TargetWork;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.routing.TargetRegistration;
import org.dahliapass.wire.message.WorkAtTarget;

/**
 * Translates reports of work at targets between the VMs' messages and the decisions' records.
 *
 * <p>Messages name instances, since an address may belong to another target by now, and ages, since
 * the clocks of two VMs differ.
 */
final class WorkReportCodec {
    private WorkReportCodec() {}

    /** Encodes the work at targets that are registered; work at others is left out. */
    static List<WorkAtTarget> encode(
            List<TargetWork> report, Map<Endpoint, TargetRegistration> targets, long nowMillis) {
        List<WorkAtTarget> encoded = new ArrayList<>();
        for (TargetWork work : report) {
            TargetRegistration target = targets.get(work.target());
            if (target != null) {
                encoded.add(encode(target.instance(), work, nowMillis));
            }
        }
        return encoded;
    }

    private static WorkAtTarget encode(String instance, TargetWork work, long nowMillis) {
        WorkAtTarget.Builder encoded =
                WorkAtTarget.newBuilder()
                        .setInstance(instance)
                        .setInFlight(work.inFlight())
                        .setSilence((float) work.silence());
        work.provenMillis()
                .ifPresent(
                        proven ->
                                encoded.setProvenAgeMillis((int) Math.max(0, nowMillis - proven)));
        return encoded.build();
    }

    /** Decodes the work at instances that are registered here; what is unknown is left out. */
    static List<TargetWork> decode(
            List<WorkAtTarget> report, Map<Endpoint, TargetRegistration> targets, long nowMillis) {
        Map<String, Endpoint> addresses = new HashMap<>();
        targets.forEach((address, target) -> addresses.put(target.instance(), address));
        List<TargetWork> decoded = new ArrayList<>();
        for (WorkAtTarget work : report) {
            Endpoint address = addresses.get(work.getInstance());
            if (address != null) {
                decoded.add(decode(address, work, nowMillis));
            }
        }
        return decoded;
    }

    private static TargetWork decode(Endpoint target, WorkAtTarget work, long nowMillis) {
        OptionalLong proven =
                work.hasProvenAgeMillis()
                        ? OptionalLong.of(nowMillis - work.getProvenAgeMillis())
                        : OptionalLong.empty();
        // Less than 1 would let a broken report speak for a target that is silent.
        return new TargetWork(target, work.getInFlight(), Math.max(1, work.getSilence()), proven);
    }
}
