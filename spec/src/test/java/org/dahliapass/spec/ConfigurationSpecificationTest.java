package org.dahliapass.spec;

import java.util.List;

/**
 * Checks the accept protocol on {@code head}: one compare-and-swap, a ring with pointers, operation
 * ids for lost answers.
 *
 * <p>Scope: 2 customers, 3 operations (4 for {@code storeShowsNewest}, 2 for {@code textThere}), 3
 * accepted changes (2 for {@code textThere}), a ring of one record, traces of 3 to 6 states that
 * start in any state which an earlier history may have left. Solver: SAT4J. Time: 12 to 19 s on a
 * busy machine with 12 cores.
 */
public final class ConfigurationSpecificationTest extends SpecificationTestBase {
    /** Lists the guards in the order of the specification. */
    public ConfigurationSpecificationTest() {
        super(
                "configuration.als",
                List.of(
                        new Variant("guardCompareAndSwap", "acceptedStays"),
                        new Variant("guardDraftIsCurrent", "noLostUpdate"),
                        new Variant("guardPointerBeforeEviction", "storeShowsNewest"),
                        new Variant("guardIndexBeforeEviction", "newVmFindsAll"),
                        new Variant("guardPointerMonotone", "storeShowsNewest"),
                        new Variant("guardTextBeforeAccept", "textThere"),
                        new Variant("guardHeadBeforePointer", "readerNeverBehind"),
                        new Variant("guardHeadMoved", "verdictsTrue"),
                        new Variant("guardOperationNotFound", "verdictsTrue"),
                        new Variant("guardHistoryReaches", "verdictsTrue")));
    }
}
