package org.dahliapass.decisions.health;

import java.util.List;
import org.dahliapass.model.ServiceId;
import org.dahliapass.model.VmIdentity;

/**
 * The request outcomes of a service's targets that a VM observed since its last report.
 *
 * <p>An empty report still shows the other VMs of the cell that this VM is reporting.
 *
 * @param observer the reporting VM
 * @param availabilityZone the observer's availability zone
 * @param sequence increases by one with each report of this observer; identifies duplicates
 * @param service the service
 * @param evidence one entry for each target and request kind with activity
 */
public record EvidenceReport(
        VmIdentity observer,
        String availabilityZone,
        long sequence,
        ServiceId service,
        List<TargetEvidence> evidence) {

    /** Creates a report with an immutable copy of the evidence. */
    public EvidenceReport {
        evidence = List.copyOf(evidence);
    }
}
