package org.dahliapass.entry;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.dahliapass.decisions.health.EvidenceReport;
import org.dahliapass.decisions.traffic.TargetInFlight;
import org.dahliapass.model.Vm;

/** Sends what this VM saw of a service's targets to another VM of the cell. */
interface EvidenceLink {
    /** Sends a report; fails without a word. */
    CompletableFuture<Void> report(Vm peer, EvidenceReport report, List<TargetInFlight> inFlight);
}
