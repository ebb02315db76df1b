package org.dahliapass.decisions.once;

import java.util.ArrayList;
import java.util.List;
import org.quicktheories.core.Gen;
import org.quicktheories.generators.Generate;
import org.quicktheories.generators.SourceDSL;

/**
 * One step of a schedule. A step without anything to act on does nothing, so any part of a schedule
 * is valid.
 *
 * @param first selects the VM, message or request
 * @param second selects further details of the step
 */
record OnceStep(Kind kind, int first, int second) {

    private static final int CHOICES = 1_000;

    /** The kind of a step, with its relative frequency. */
    enum Kind {
        SEND_NEW(8, true),
        SEND_AGAIN(8, true),
        SEND_CHANGED(1, false),
        QUERY(4, false),
        DELIVER(40, true),
        DROP(2, false),
        DUPLICATE(4, false),
        RUN_AT_TARGET(8, true),
        REFUSE_AT_TARGET(3, false),
        TIME_OUT(8, false),
        RESTART(2, false),
        PAUSE_OR_RESUME(3, false),
        BREAK_OR_REPAIR_LINK(3, false),
        ADVANCE(3, false),
        SKEW(1, false);

        private final int mWeight;
        private final boolean mFaultless;

        Kind(int weight, boolean faultless) {
            mWeight = weight;
            mFaultless = faultless;
        }
    }

    /**
     * Generates schedules of up to a length, with all kinds of steps or only the faultless ones.
     */
    static Gen<List<OnceStep>> schedules(int maxLength, boolean withFaults) {
        List<Kind> kinds = new ArrayList<>();
        for (Kind kind : Kind.values()) {
            int weight = withFaults || kind.mFaultless ? kind.mWeight : 0;
            for (int count = 0; count < weight; count++) {
                kinds.add(kind);
            }
        }
        Gen<Integer> choices = Generate.range(0, CHOICES);
        Gen<OnceStep> steps =
                Generate.range(0, kinds.size() - 1)
                        .zip(choices, choices, (k, a, b) -> new OnceStep(kinds.get(k), a, b));
        return SourceDSL.lists().of(steps).ofSizeBetween(1, maxLength);
    }

    @Override
    public String toString() {
        return kind + "(" + first + "," + second + ")";
    }
}
