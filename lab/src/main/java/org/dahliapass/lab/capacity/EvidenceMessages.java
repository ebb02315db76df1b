package org.dahliapass.lab.capacity;

import org.dahliapass.decisions.health.EvidenceReport;
import org.dahliapass.decisions.health.TargetEvidence;
import org.dahliapass.entry.GossipCodec;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.ServiceId;
import org.dahliapass.wire.message.Address;
import org.dahliapass.wire.message.InFlight;
import org.dahliapass.wire.message.Service;

/**
 * Encodes and decodes evidence reports like the entry VM's codec, which isn't visible to this
 * package.
 */
final class EvidenceMessages {
    private EvidenceMessages() {}

    /** Encodes a report that also names the given number of targets with requests in flight. */
    static org.dahliapass.wire.message.EvidenceReport encode(EvidenceReport report, int inFlight) {
        org.dahliapass.wire.message.EvidenceReport.Builder message =
                org.dahliapass.wire.message.EvidenceReport.newBuilder()
                        .setService(
                                Service.newBuilder()
                                        .setProvider(report.service().provider())
                                        .setName(report.service().name()))
                        .setObserver(GossipCodec.encode(report.observer()))
                        .setAvailabilityZone(report.availabilityZone())
                        .setSequence(report.sequence());
        report.evidence().forEach(evidence -> message.addTargets(encode(evidence)));
        for (int target = 0; target < inFlight; target++) {
            Endpoint endpoint = SampleServices.endpoint(0, target);
            message.addInFlight(InFlight.newBuilder().setEndpoint(encode(endpoint)).setRequests(1));
        }
        return message.build();
    }

    /** Decodes a report. */
    static EvidenceReport decode(org.dahliapass.wire.message.EvidenceReport message) {
        return new EvidenceReport(
                GossipCodec.decode(message.getObserver()),
                message.getAvailabilityZone(),
                message.getSequence(),
                new ServiceId(message.getService().getProvider(), message.getService().getName()),
                message.getTargetsList().stream().map(EvidenceMessages::decode).toList());
    }

    private static org.dahliapass.wire.message.TargetEvidence encode(TargetEvidence evidence) {
        return org.dahliapass.wire.message.TargetEvidence.newBuilder()
                .setEndpoint(encode(evidence.target()))
                .setKind(evidence.kind())
                .setSuccesses(evidence.successes())
                .setFailures(evidence.failures())
                .setLogLatencySum(evidence.logLatencySum())
                .setLogLatencySquareSum(evidence.logLatencySquareSum())
                .build();
    }

    private static TargetEvidence decode(org.dahliapass.wire.message.TargetEvidence message) {
        return new TargetEvidence(
                new Endpoint(message.getEndpoint().getHost(), message.getEndpoint().getPort()),
                message.getKind(),
                message.getSuccesses(),
                message.getFailures(),
                message.getLogLatencySum(),
                message.getLogLatencySquareSum());
    }

    private static Address encode(Endpoint endpoint) {
        return Address.newBuilder().setHost(endpoint.host()).setPort(endpoint.port()).build();
    }
}
