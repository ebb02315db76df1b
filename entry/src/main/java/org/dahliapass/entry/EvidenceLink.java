package org.dahliapass.entry;

import java.util.List;
import org.dahliapass.decisions.health.EvidenceReport;
import org.dahliapass.decisions.traffic.TargetInFlight;
import org.dahliapass.model.Vm;

/** Sends what this VM saw of a service's targets to another VM of the cell. */
interface EvidenceLink {
    /**
     * Sends a report to each of the peers; a lost one is not sent again.
     *
     * @return the bytes of all messages together
     */
    long report(List<Vm> peers, EvidenceReport report, List<TargetInFlight> inFlight);
}
