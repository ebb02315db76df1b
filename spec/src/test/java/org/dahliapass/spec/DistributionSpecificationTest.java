package org.dahliapass.spec;

import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

/**
 * Checks the distribution of accepted changes in {@code distribution.als}: late rumors, replaced
 * VMs that start empty, and the report that a change is in force on all VMs.
 *
 * <p>Scope: 2 customers, 2 VMs (3 for {@code reportedStays}), 2 accepted changes (3 for {@code
 * neverBack} and {@code storeFillIsCurrent}), traces of 6 to 8 states.
 */
public final class DistributionSpecificationTest extends SpecificationTestBase {
    /** Creates the test with the guards in the order of the specification. */
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
     * A VM that fills from a peer may lack an unreported change that the peer lacks, until a rumor
     * or a ping announces it.
     */
    @Test
    void fillFromPeerMayLackUnreportedChange() {
        assertTrue(runner().isSatisfiable("unpromisedPeerFillIsCurrent"));
    }
}
