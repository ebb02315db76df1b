package org.dahliapass.lab.capacity;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import org.dahliapass.decisions.health.EvidenceReport;
import org.dahliapass.decisions.health.Outcome;
import org.dahliapass.decisions.health.TargetEvidence;
import org.dahliapass.decisions.health.TargetHealth;
import org.dahliapass.kernel.OperationException;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.ServiceTemplate;
import org.dahliapass.wire.message.EvidenceReportReply;
import org.dahliapass.wire.message.PeerReply;
import org.dahliapass.wire.message.PeerRequest;

/** Measures health tracking of a service's targets. */
final class HealthBenchmark implements Benchmark {
    private static final int[] TARGETS = {8, 23, 64};
    private static final int[] SERVICES = {1, 3, 6};
    private static final int[] ENTRIES = {1, 6, 24};
    private static final int[] RESPONSES = {100, 1_000, 4_000};
    private static final int TARGETS_PER_SERVICE = 23;
    private static final int CELL = 6;
    private static final long PERIOD_MILLIS = 250;

    /** Fills the 64 s for which evidence is retained. */
    private static final long RETAINED_STEPS = 256;

    private static final long LATENCY_MILLIS = 40;
    private static final int IN_FLIGHT = 2;

    @Override
    public List<Measurement> run(ResourceMeter meter) {
        List<Measurement> measurements = new ArrayList<>();
        measurements.add(
                meter.measureHeap(Quantity.SERVICE_HEAP, SERVICES, HealthBenchmark::services));
        measurements.add(meter.measureHeap(Quantity.TARGET_HEAP, TARGETS, size -> health(0, size)));
        measurements.add(
                meter.measureTime(Quantity.CONTROL_TICK, TARGETS, 1, HealthBenchmark::tick));
        measurements.add(
                meter.measureTime(Quantity.OUTCOME, RESPONSES, 1, HealthBenchmark::responses));
        measurements.add(
                ResourceMeter.measureExact(
                        Quantity.EVIDENCE_BYTES, ENTRIES, HealthBenchmark::reportBytes));
        measurements.add(
                ResourceMeter.measureExact(Quantity.REPLY_BYTES, ENTRIES, entries -> replyBytes()));
        measurements.add(
                meter.measureTime(Quantity.EVIDENCE_TIME, ENTRIES, 1, HealthBenchmark::exchange));
        return measurements;
    }

    private static List<TargetHealth> services(int count) {
        List<TargetHealth> services = new ArrayList<>();
        for (int service = 0; service < count; service++) {
            services.add(health(service, TARGETS_PER_SERVICE));
        }
        return services;
    }

    /** Returns the health of a service with evidence on every target from every VM of its cell. */
    private static TargetHealth health(int service, int targets) {
        ServiceTemplate template = SampleServices.service(service, targets, CELL);
        TargetHealth health =
                new TargetHealth(SampleFleet.identity(0), SampleFleet.zone(0), template, 0);
        for (long step = 1; step <= RETAINED_STEPS; step++) {
            recordEvidence(health, service, targets, step * PERIOD_MILLIS);
        }
        return health;
    }

    private static void recordEvidence(
            TargetHealth health, int service, int targets, long nowMillis) {
        for (int target = 0; target < targets; target++) {
            Endpoint endpoint = SampleServices.endpoint(service, target);
            for (String kind : SampleServices.KINDS) {
                health.onOutcome(endpoint, kind, Outcome.SUCCESS, LATENCY_MILLIS, nowMillis);
            }
            health.onProbe(endpoint, true, nowMillis);
        }
        int entries = targets * SampleServices.KINDS.size();
        for (int peer = 1; peer < CELL; peer++) {
            health.onPeerEvidence(report(peer, service, nowMillis, entries), nowMillis);
        }
    }

    /** Returns a peer's report with the given number of target and kind pairs. */
    private static EvidenceReport report(int peer, int service, long sequence, int entries) {
        List<TargetEvidence> evidence = new ArrayList<>();
        int kinds = SampleServices.KINDS.size();
        double log = Math.log(LATENCY_MILLIS);
        for (int entry = 0; entry < entries; entry++) {
            Endpoint endpoint = SampleServices.endpoint(service, entry / kinds);
            String kind = SampleServices.KINDS.get(entry % kinds);
            evidence.add(new TargetEvidence(endpoint, kind, 1, 0, log, log * log));
        }
        return new EvidenceReport(
                SampleFleet.identity(peer),
                SampleFleet.zone(peer),
                sequence,
                SampleServices.service(service, 1, CELL).id(),
                evidence);
    }

    /** Uses a constant time, so that no evidence expires during the measurement. */
    private static Runnable tick(int targets) {
        TargetHealth health = health(0, targets);
        long now = RETAINED_STEPS * PERIOD_MILLIS;
        return () -> {
            health.onTick(now);
            health.takeExplanations();
        };
    }

    private static Runnable responses(int responses) {
        TargetHealth health = health(0, TARGETS_PER_SERVICE);
        long[] now = {RETAINED_STEPS * PERIOD_MILLIS};
        return () -> {
            now[0]++;
            for (int response = 0; response < responses; response++) {
                Endpoint target = SampleServices.endpoint(0, response % TARGETS_PER_SERVICE);
                String kind = SampleServices.KINDS.get(response % SampleServices.KINDS.size());
                health.onOutcome(target, kind, Outcome.SUCCESS, LATENCY_MILLIS, now[0]);
            }
        };
    }

    private static double reportBytes(double entries) {
        EvidenceReport report = report(1, 0, 1_000_000, (int) entries);
        PeerRequest.Builder request =
                PeerRequest.newBuilder()
                        .setEvidenceReport(EvidenceMessages.encode(report, IN_FLIGHT));
        return Envelope.bytes(SampleFleet.identity(1), request);
    }

    private static double replyBytes() {
        return Envelope.bytes(
                PeerReply.newBuilder().setEvidenceReport(EvidenceReportReply.getDefaultInstance()));
    }

    /** Encodes a report like its sender, and decodes and applies it like its recipient. */
    private static Runnable exchange(int entries) {
        TargetHealth recipient = health(0, TARGETS_PER_SERVICE);
        long[] sequence = {RETAINED_STEPS * PERIOD_MILLIS};
        return () -> {
            sequence[0]++;
            EvidenceReport report = report(1, 0, sequence[0], entries);
            byte[] sent = EvidenceMessages.encode(report, IN_FLIGHT).toByteArray();
            try {
                recipient.onPeerEvidence(
                        EvidenceMessages.decode(
                                org.dahliapass.wire.message.EvidenceReport.parseFrom(sent)),
                        sequence[0]);
            } catch (InvalidProtocolBufferException failure) {
                throw new OperationException(
                        "decode evidence", "lab", "The encoded sample can't be decoded.", failure);
            }
        };
    }
}
