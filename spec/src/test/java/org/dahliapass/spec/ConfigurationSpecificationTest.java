package org.dahliapass.spec;

import java.util.List;

/**
 * Checks the accept protocol of {@code configuration.als}: one compare-and-swap on {@code head}, a
 * ring of records with pointers, and operation IDs that resolve lost responses.
 *
 * <p>Scope: 2 customers, 3 operations (4 for {@code storeShowsNewest}, 2 for {@code textThere}), 3
 * accepted changes (2 for {@code textThere}), a ring of one record, traces of 3 to 6 states from
 * any state that a shorter history can reach.
 */
public final class ConfigurationSpecificationTest extends SpecificationTestBase {
    /** Creates the test with the guards in the order of the specification. */
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
