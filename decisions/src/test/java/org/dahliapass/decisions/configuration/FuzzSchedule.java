package org.dahliapass.decisions.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * A list of steps that a seed makes, and that can be shortened while it still fails.
 *
 * @param steps the steps
 */
record FuzzSchedule(List<Step> steps) {
    private static final int LENGTH = 400;

    /** What may happen, and how often, compared with the others. */
    enum Kind {
        TICK(12),
        DELIVER(40),
        DUPLICATE(4),
        DROP(6),
        WATCH(5),
        REPLACE_VM(2),
        REPLACE_ALL(1),
        SWITCH_DEAF(2),
        SWITCH_FROZEN(2),
        SWITCH_STORE(2),
        START_ACCEPT(5),
        STEP_OPERATOR(60),
        LOSE_ANSWER(2),
        STICK_WRITE(2),
        ARRIVE_LATE(2),
        CRASH_OPERATOR(1);

        private final int mWeight;

        Kind(int weight) {
            mWeight = weight;
        }

        static Kind of(Random random) {
            int total = 0;
            for (Kind kind : values()) {
                total += kind.mWeight;
            }
            int left = random.nextInt(total);
            int place = 0;
            while (left >= values()[place].mWeight) {
                left -= values()[place].mWeight;
                place++;
            }
            return values()[place];
        }
    }

    /** One step and its choice among what is possible when it comes. */
    record Step(Kind kind, int choice) {
        void run(FuzzFleet fleet) {
            switch (kind) {
                case TICK -> fleet.tick(choice);
                case DELIVER -> fleet.deliver(choice, false);
                case DUPLICATE -> fleet.deliver(choice, true);
                case DROP -> fleet.drop(choice);
                case WATCH -> fleet.watch(choice);
                case REPLACE_VM -> fleet.replaceVm(choice);
                case REPLACE_ALL -> fleet.replaceAll();
                case SWITCH_DEAF -> fleet.switchDeaf(choice);
                case SWITCH_FROZEN -> fleet.switchFrozen(choice);
                case SWITCH_STORE -> fleet.switchStore();
                case START_ACCEPT -> fleet.startAccept(choice);
                case STEP_OPERATOR -> fleet.stepOperator(choice, SwapOutcome.SWAPPED);
                case LOSE_ANSWER -> fleet.stepOperator(choice, SwapOutcome.UNKNOWN);
                case STICK_WRITE -> fleet.stepOperator(choice, SwapOutcome.CONFLICT);
                case ARRIVE_LATE -> fleet.arriveLate(choice);
                case CRASH_OPERATOR -> fleet.crashOperator(choice);
            }
        }
    }

    static FuzzSchedule of(long seed) {
        Random random = new Random(seed);
        List<Step> steps = new ArrayList<>();
        for (int place = 0; place < LENGTH; place++) {
            steps.add(new Step(Kind.of(random), random.nextInt(1000)));
        }
        return new FuzzSchedule(steps);
    }

    /**
     * What a run came to.
     *
     * @param failure what went wrong
     * @param accepted how many changes were accepted
     * @param ticks after how many ticks of calm all VMs agreed
     */
    record Result(Optional<String> failure, int accepted, int ticks) {}

    /** Runs the steps. */
    Result run(InjectedFault fault) {
        FuzzFleet fleet = new FuzzFleet(fault);
        try {
            steps.forEach(step -> step.run(fleet));
            return new Result(Optional.empty(), fleet.accepted(), fleet.calmDown());
        } catch (AssertionError | RuntimeException failure) {
            return new Result(Optional.of(failure.toString()), fleet.accepted(), 0);
        }
    }

    /** Leaves out as many steps as it can while the schedule still fails. */
    FuzzSchedule shrunk(InjectedFault fault) {
        List<Step> left = steps;
        for (int size = left.size() / 2; size > 0; size /= 2) {
            for (int from = 0; from + size <= left.size(); ) {
                List<Step> shorter = new ArrayList<>(left);
                shorter.subList(from, from + size).clear();
                if (new FuzzSchedule(shorter).run(fault).failure().isPresent()) {
                    left = shorter;
                } else {
                    from += size;
                }
            }
        }
        return new FuzzSchedule(left);
    }
}
