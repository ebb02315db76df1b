package org.dahliapass.entry;

import java.util.List;
import org.dahliapass.decisions.health.EvidenceReport;
import org.dahliapass.decisions.traffic.TargetInFlight;
import org.dahliapass.model.Vm;

/** Sends evidence about a service's targets to the other VMs of its cell. */
interface EvidenceLink {
    /**
     * Sends a report to each peer, without retransmission.
     *
     * @return the total size of the messages in bytes
     */
    long report(List<Vm> peers, EvidenceReport report, List<TargetInFlight> inFlight);
}
