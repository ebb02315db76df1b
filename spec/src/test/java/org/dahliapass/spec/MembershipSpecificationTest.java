package org.dahliapass.spec;

import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

/**
 * Checks the membership protocol of {@code membership.als}: suspicion, refutation, death,
 * tombstones and new incarnations under message loss, crashes, one-way partitions, delay,
 * duplication and reordering.
 *
 * <p>Scope: 3 incarnations of 2 VMs ({@code deadStaysDead}, {@code oneIncarnation}) or of 3 VMs, 2
 * refutations of each, traces of 5 to 8 states.
 */
public final class MembershipSpecificationTest extends SpecificationTestBase {
    /** Creates the test with the guards in the order of the specification. */
    public MembershipSpecificationTest() {
        super(
                "membership.als",
                List.of(
                        new Variant("guardHigherEntry", "deadStaysDead"),
                        new Variant("guardNewestIncarnation", "oneIncarnation"),
                        new Variant("guardOlderBuried", "oneIncarnation"),
                        new Variant("guardTombstoneKept", "deadStaysDead"),
                        new Variant("guardRefutes", "livingNotDead"),
                        new Variant("guardSuspicionStood", "livingNotDead"),
                        new Variant("guardHelpersAsked", "cutPairNotSuspected")));
    }

    /** Without a helper for indirect probes, a one-way partition can't be told from a crash. */
    @Test
    void oneWayCutWithoutHelperIsDeclaredDead() {
        assertTrue(runner().isSatisfiable("unpromisedWithoutHelper"));
    }
}
