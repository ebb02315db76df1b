package org.dahliapass.decisions.health;

import java.util.List;
import org.dahliapass.model.ServiceId;
import org.dahliapass.model.VmIdentity;

/**
 * What one VM of a cell tells the others about a service's targets.
 *
 * <p>It holds only what happened since the last report. An empty one still says that this VM
 * reports, which the others need to know before they decide alone.
 *
 * @param observer the VM that saw it
 * @param availabilityZone the observer's availability zone
 * @param sequence grows by one with each report of this observer, so that a copy is counted once
 * @param service the service
 * @param evidence one entry for each target and kind with activity
 */
public record EvidenceReport(
        VmIdentity observer,
        String availabilityZone,
        long sequence,
        ServiceId service,
        List<TargetEvidence> evidence) {

    /** Copies the list. */
    public EvidenceReport {
        evidence = List.copyOf(evidence);
    }
}
