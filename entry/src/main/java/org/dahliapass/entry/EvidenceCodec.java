package org.dahliapass.entry;

import java.util.List;
import org.dahliapass.decisions.health.EvidenceReport;
import org.dahliapass.decisions.health.TargetEvidence;
import org.dahliapass.decisions.traffic.TargetInFlight;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.ServiceId;
import org.dahliapass.wire.message.Address;
import org.dahliapass.wire.message.InFlight;
import org.dahliapass.wire.message.Service;

/** Converts between evidence about target health and the messages between VMs. */
final class EvidenceCodec {
    private EvidenceCodec() {}

    static org.dahliapass.wire.message.EvidenceReport encode(
            EvidenceReport report, List<TargetInFlight> inFlight) {
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
        for (TargetInFlight use : inFlight) {
            message.addInFlight(
                    InFlight.newBuilder()
                            .setEndpoint(encode(use.target()))
                            .setRequests(use.inFlight()));
        }
        return message.build();
    }

    static EvidenceReport decode(org.dahliapass.wire.message.EvidenceReport message) {
        return new EvidenceReport(
                GossipCodec.decode(message.getObserver()),
                message.getAvailabilityZone(),
                message.getSequence(),
                new ServiceId(message.getService().getProvider(), message.getService().getName()),
                message.getTargetsList().stream().map(EvidenceCodec::decode).toList());
    }

    static List<TargetInFlight> inFlight(org.dahliapass.wire.message.EvidenceReport message) {
        return message.getInFlightList().stream()
                .map(use -> new TargetInFlight(decode(use.getEndpoint()), use.getRequests()))
                .toList();
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
                decode(message.getEndpoint()),
                message.getKind(),
                message.getSuccesses(),
                message.getFailures(),
                message.getLogLatencySum(),
                message.getLogLatencySquareSum());
    }

    private static Address encode(Endpoint endpoint) {
        return Address.newBuilder().setHost(endpoint.host()).setPort(endpoint.port()).build();
    }

    private static Endpoint decode(Address address) {
        return new Endpoint(address.getHost(), address.getPort());
    }
}
