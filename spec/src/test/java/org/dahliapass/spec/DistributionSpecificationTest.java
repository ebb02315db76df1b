package org.dahliapass.spec;

import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

/**
 * Checks how accepted changes come into force on the VMs: late rumors, replaced VMs that start
 * empty, and the report that a change is in force everywhere.
 *
 * <p>Scope: 2 customers, 2 VMs (3 for {@code reportedStays}), 2 accepted changes (3 for {@code
 * neverBack} and {@code storeFillIsCurrent}), traces of 6 to 8 states. Solver: SAT4J. Time: 12 to
 * 15 s on a busy machine with 12 cores.
 */
public final class DistributionSpecificationTest extends SpecificationTestBase {
    /** Lists the guards in the order of the specification. */
    public DistributionSpecificationTest() {
        super(
                "distribution.als",
                List.of(
                        new Variant("guardApplyHigher", "neverBack"),
                        new Variant("guardNoGap", "toldIsKnown"),
                        new Variant("guardPeerServes", "reportedStays"),
                        new Variant("guardAllConfirm", "reportedStays"),
                        new Variant("guardFillsEnded", "reportedStays")));
    }

    /**
     * The limit of a fill from a peer: what the peer lacks, the new VM lacks too, until a rumor or
     * a ping tells it; only what was reported in force everywhere is sure to be there.
     */
    @Test
    void fillFromPeerMayLackUnreportedChange() {
        assertTrue(runner().isSatisfiable("unpromisedPeerFillIsCurrent"));
    }
}
