package org.dahliapass.spec;

import java.util.List;

/**
 * Checks planned stops in {@code stops.als}: a VM that leaves while callers cache its address, and
 * a target that leaves while requests for it are queued.
 *
 * <p>Scope: 5 ticks, 2 other VMs and 1 caller ({@code noneMissed}), 1 other VM and 2 callers
 * ({@code noneCut}), 4 ticks and 2 requests (a target that leaves); every bound is one tick; traces
 * of 8 to 16 states.
 */
public final class StopsSpecificationTest extends SpecificationTestBase {
    private static final String NONE_MISSED = "noneMissed";
    private static final String NO_LATE_DISPATCH = "noLateDispatch";

    /** Creates the test with the guards in the order of the specification. */
    public StopsSpecificationTest() {
        super(
                "stops.als",
                List.of(
                        new Variant("guardSpreadWaited", NONE_MISSED),
                        new Variant("guardAnswersExpired", NONE_MISSED),
                        new Variant("guardRequestsArrived", NONE_MISSED),
                        new Variant("guardInFlightEnded", "noneCut"),
                        new Variant("guardAsksSkipLeaving", NONE_MISSED),
                        new Variant("guardJoinerSettled", NONE_MISSED),
                        new Variant("guardFetchedLate", NONE_MISSED),
                        new Variant("guardCallerDropsExpired", NONE_MISSED),
                        new Variant("guardQueuedChecked", NO_LATE_DISPATCH),
                        new Variant("guardRetriedChecked", NO_LATE_DISPATCH),
                        new Variant("guardHedgedChecked", "noDispatchAfterSign"),
                        new Variant("guardSignSticks", NO_LATE_DISPATCH),
                        new Variant("guardGossipInTime", NONE_MISSED),
                        new Variant("guardRequestsInTime", NONE_MISSED),
                        new Variant("guardSignInTime", NO_LATE_DISPATCH)));
    }
}
