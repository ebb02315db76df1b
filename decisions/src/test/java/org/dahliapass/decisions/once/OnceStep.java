package org.dahliapass.decisions.once;

import java.util.ArrayList;
import java.util.List;
import org.quicktheories.core.Gen;
import org.quicktheories.generators.Generate;
import org.quicktheories.generators.SourceDSL;

/**
 * One step of a schedule; a step that has nothing to act on does nothing, so any part of a schedule
 * is a schedule too.
 *
 * @param kind what happens
 * @param first chooses the VM, message or request that it happens to
 * @param second chooses a further detail
 */
record OnceStep(Kind kind, int first, int second) {

    private static final int CHOICES = 1_000;

    /** What can happen, and how often relative to the others. */
    enum Kind {
        SEND_NEW(8, true),
        SEND_AGAIN(8, true),
        SEND_CHANGED(1, false),
        ASK(4, false),
        DELIVER(40, true),
        LOSE(2, false),
        DUPLICATE(4, false),
        RUN_AT_TARGET(8, true),
        REFUSE_AT_TARGET(3, false),
        TIME_OUT(8, false),
        RESTART(2, false),
        FREEZE_OR_WAKE(3, false),
        CUT_OR_HEAL(3, false),
        ADVANCE(3, false),
        SKEW(1, false);

        private final int mWeight;
        private final boolean mFaultless;

        Kind(int weight, boolean faultless) {
            mWeight = weight;
            mFaultless = faultless;
        }
    }

    /** Makes schedules of up to the given length, with every kind of step or the faultless only. */
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
