package org.dahliapass.spec;

import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

/**
 * Checks the member list: suspicion, refutation, death, tombstones and new incarnations, under
 * loss, crashes, one-way cuts and messages that arrive late, twice or out of order.
 *
 * <p>Scope: 3 incarnations of 2 VMs ({@code deadStaysDead}, {@code oneIncarnation}) or of 3 VMs, 2
 * refutations of each, traces of 5 to 8 states. Solver: SAT4J. Time: 12 to 19 s on a busy machine
 * with 12 cores.
 */
public final class MembershipSpecificationTest extends SpecificationTestBase {
    /** Lists the guards in the order of the specification. */
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

    /** The limit of indirect probes: with no helper left, a one-way cut looks like a death. */
    @Test
    void cutWithoutHelperEndsInDeath() {
        assertTrue(runner().isSatisfiable("unpromisedWithoutHelper"));
    }
}
