package org.dahliapass.decisions.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/** A schedule of steps that is generated from a seed and can be shrunk. */
record FuzzSchedule(List<Step> steps) {
    private static final int LENGTH = 400;

    /** The kind of a step, with its relative frequency. */
    enum Kind {
        TICK(12),
        DELIVER(40),
        DUPLICATE(4),
        DROP(6),
        READ_HEAD(5),
        REPLACE_VM(2),
        REPLACE_ALL(1),
        TOGGLE_RECEIVING(2),
        TOGGLE_PAUSED(2),
        TOGGLE_STORE(2),
        START_ACCEPT(5),
        STEP_OPERATOR(60),
        LOSE_RESPONSE(2),
        DELAY_SWAP(2),
        DELIVER_DELAYED_SWAP(2),
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
            int index = 0;
            while (left >= values()[index].mWeight) {
                left -= values()[index].mWeight;
                index++;
            }
            return values()[index];
        }
    }

    /** A step; {@code choice} selects among the possible choices when it runs. */
    record Step(Kind kind, int choice) {
        void run(FuzzFleet fleet) {
            switch (kind) {
                case TICK -> fleet.tick(choice);
                case DELIVER -> fleet.deliver(choice, false);
                case DUPLICATE -> fleet.deliver(choice, true);
                case DROP -> fleet.drop(choice);
                case READ_HEAD -> fleet.readHead(choice);
                case REPLACE_VM -> fleet.replaceVm(choice);
                case REPLACE_ALL -> fleet.replaceAll();
                case TOGGLE_RECEIVING -> fleet.toggleReceiving(choice);
                case TOGGLE_PAUSED -> fleet.togglePaused(choice);
                case TOGGLE_STORE -> fleet.toggleStore();
                case START_ACCEPT -> fleet.startAccept(choice);
                case STEP_OPERATOR -> fleet.stepOperator(choice, SwapOutcome.SWAPPED);
                case LOSE_RESPONSE -> fleet.stepOperator(choice, SwapOutcome.UNKNOWN);
                case DELAY_SWAP -> fleet.stepOperator(choice, SwapOutcome.CONFLICT);
                case DELIVER_DELAYED_SWAP -> fleet.deliverDelayedSwap(choice);
                case CRASH_OPERATOR -> fleet.crashOperator(choice);
            }
        }
    }

    static FuzzSchedule of(long seed) {
        Random random = new Random(seed);
        List<Step> steps = new ArrayList<>();
        for (int index = 0; index < LENGTH; index++) {
            steps.add(new Step(Kind.of(random), random.nextInt(1000)));
        }
        return new FuzzSchedule(steps);
    }

    /**
     * The result of a run.
     *
     * @param failure the failure, if any
     * @param accepted number of accepted changes
     * @param ticks number of ticks without faults until all VMs agreed
     */
    record Result(Optional<String> failure, int accepted, int ticks) {}

    /** Runs the steps. */
    Result run(InjectedFault fault) {
        FuzzFleet fleet = new FuzzFleet(fault);
        try {
            steps.forEach(step -> step.run(fleet));
            return new Result(Optional.empty(), fleet.accepted(), fleet.recover());
        } catch (AssertionError | RuntimeException failure) {
            return new Result(Optional.of(failure.toString()), fleet.accepted(), 0);
        }
    }

    /** Returns a shorter schedule that still fails. */
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
