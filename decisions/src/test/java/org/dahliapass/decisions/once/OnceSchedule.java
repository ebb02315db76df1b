package org.dahliapass.decisions.once;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.dahliapass.decisions.once.OnceMessage.Envelope;
import org.dahliapass.model.VmIdentity;

/** Runs one schedule on a few VMs, with every answer and every run reported to the oracle. */
final class OnceSchedule {

    private static final List<String> NAMES = List.of("a", "b", "c");
    private static final long START_MILLIS = 1_000_000;
    private static final long BRIEF_MILLIS = 9_000;
    private static final int LATE_ROUNDS = 6;
    private static final int DRAIN_ROUNDS = 1_000;

    private record Dispatched(VmIdentity home, Operation operation, int attempt) {}

    private record Cut(String from, String to) {}

    private final OnceFault mFault;
    private final OnceOracle mOracle = new OnceOracle();
    private final Map<String, SimulatedVm> mVms = new HashMap<>();
    private final Map<String, Long> mSkews = new HashMap<>();
    private final Set<String> mFrozen = new HashSet<>();
    private final Set<Cut> mCuts = new HashSet<>();
    private final List<Envelope> mMessages = new ArrayList<>();
    private final List<Dispatched> mAtTargets = new ArrayList<>();
    private final List<Operation> mOperations = new ArrayList<>();
    private final Map<Operation, OperationAnswer> mLastTold = new HashMap<>();
    private long mNowMillis = START_MILLIS;
    private long mIncarnations;

    OnceSchedule(OnceFault fault) {
        mFault = fault;
        NAMES.forEach(this::startVm);
    }

    /** Runs the steps, then heals all faults and lets everything late arrive. */
    OnceSchedule run(List<OnceStep> steps) {
        steps.forEach(this::take);
        settle();
        return this;
    }

    /** Repeats every key through every VM, while the keys expire one after the other. */
    OnceSchedule repeatEverything() {
        for (int round = 0; round < LATE_ROUNDS; round++) {
            askEverywhere();
            mNowMillis += OnceFault.WINDOW.retentionMillis() / (LATE_ROUNDS - 2);
        }
        return this;
    }

    List<Operation> operations() {
        return mOperations;
    }

    OperationAnswer lastTold(Operation operation) {
        return mLastTold.get(operation);
    }

    OnceOracle oracle() {
        return mOracle;
    }

    void send(VmIdentity from, String to, OnceMessage message) {
        mMessages.add(new Envelope(from, to, message));
    }

    void dispatch(VmIdentity home, Operation operation, int attempt) {
        mAtTargets.add(new Dispatched(home, operation, attempt));
    }

    void callerTold(Operation operation, OperationAnswer answer) {
        mOracle.answered(operation, answer);
        mLastTold.put(operation, answer);
    }

    /** Sends every key again through its home. */
    void sendAllAgain() {
        for (Operation operation : mOperations) {
            callerSends(operation.key().home().name(), operation, "x");
        }
        settle();
    }

    private void take(OnceStep step) {
        String vm = NAMES.get(step.first() % NAMES.size());
        switch (step.kind()) {
            case SEND_NEW -> callerSends(vm, newOperation(step), "x");
            case SEND_AGAIN -> sendKnown(vm, step.second(), "x");
            case SEND_CHANGED -> sendKnown(vm, step.second(), "y");
            case ASK -> sendKnown(vm, step.second(), "");
            case DELIVER -> deliver(step.first());
            case LOSE -> pick(mMessages, step.first(), mMessages::remove);
            case DUPLICATE -> pick(mMessages, step.first(), mMessages::add);
            case RUN_AT_TARGET -> pick(mAtTargets, step.first(), this::runAtTarget);
            case REFUSE_AT_TARGET -> pick(mAtTargets, step.first(), this::refuseAtTarget);
            case TIME_OUT -> timeOut(vm, step.second());
            case RESTART -> startVm(vm);
            case FREEZE_OR_WAKE -> toggle(mFrozen, vm);
            case CUT_OR_HEAL -> toggle(mCuts, new Cut(vm, NAMES.get(step.second() % NAMES.size())));
            case ADVANCE -> advance(step);
            case SKEW -> mSkews.merge(vm, step.second() * 20L - BRIEF_MILLIS, Long::sum);
        }
    }

    private void startVm(String name) {
        mFrozen.remove(name);
        mVms.put(name, new SimulatedVm(new VmIdentity(name, ++mIncarnations), mFault, this));
    }

    private Operation newOperation(OnceStep step) {
        String home = NAMES.get(step.second() % NAMES.size());
        String witness = NAMES.get((step.second() + 1 + step.second() / 3 % 2) % NAMES.size());
        OperationToken token =
                new OperationToken(mVms.get(home).self(), mVms.get(witness).self(), now(home));
        String unique = Integer.toString(mOperations.size());
        Operation operation = new Operation("suva", new OperationKey(token, unique));
        mOperations.add(operation);
        return operation;
    }

    private void sendKnown(String vm, int choice, String digest) {
        pick(mOperations, choice, operation -> callerSends(vm, operation, digest));
    }

    private void callerSends(String vm, Operation operation, String digest) {
        if (!mFrozen.contains(vm)) {
            mVms.get(vm).callerSends(operation, digest, now(vm));
        }
    }

    private void deliver(int choice) {
        pick(
                mMessages,
                choice,
                envelope -> {
                    if (mFrozen.contains(envelope.to())) {
                        return;
                    }
                    mMessages.remove(envelope);
                    if (!mCuts.contains(new Cut(envelope.from().name(), envelope.to()))) {
                        envelope.message()
                                .reach(
                                        mVms.get(envelope.to()),
                                        envelope.from(),
                                        now(envelope.to()));
                    }
                });
    }

    private void runAtTarget(Dispatched request) {
        mAtTargets.remove(request);
        // A status that no other run has shows whose result an answer carries.
        RecordedResult result =
                new RecordedResult(1_000 + mOracle.runs(), List.of(), Optional.empty());
        mOracle.ran(request.operation(), result);
        sendToLife(
                request.home(),
                (vm, from, at) -> vm.finished(request.operation(), request.attempt(), result, at));
    }

    private void refuseAtTarget(Dispatched request) {
        mAtTargets.remove(request);
        sendToLife(
                request.home(),
                (vm, from, at) -> vm.refused(request.operation(), request.attempt(), at));
    }

    /** A target's answer comes on a connection, which dies with the life that opened it. */
    private void sendToLife(VmIdentity home, OnceMessage message) {
        send(
                home,
                home.name(),
                (vm, from, at) -> {
                    if (vm.self().equals(home)) {
                        message.reach(vm, from, at);
                    }
                });
    }

    private void timeOut(String name, int choice) {
        SimulatedVm vm = mVms.get(name);
        if (!mFrozen.contains(name) && vm.timers() > 0) {
            vm.timeOut(choice % vm.timers(), now(name));
        }
    }

    private void advance(OnceStep step) {
        boolean far = step.second() % 5 == 0;
        mNowMillis += far ? OnceFault.WINDOW.retentionMillis() : step.second() * 10L;
    }

    private long now(String vm) {
        return mNowMillis + mSkews.getOrDefault(vm, 0L);
    }

    private void askEverywhere() {
        for (Operation operation : mOperations) {
            for (String name : NAMES) {
                callerSends(name, operation, "x");
                callerSends(name, operation, "");
                settle();
            }
        }
    }

    private void settle() {
        mFrozen.clear();
        mCuts.clear();
        for (int round = 0; round < DRAIN_ROUNDS && drainOnce(); round++) {
            mAtTargets.stream().toList().forEach(this::runAtTarget);
        }
        if (!mMessages.isEmpty() || !mAtTargets.isEmpty()) {
            throw new AssertionError("VMs go on sending for ever.");
        }
    }

    private boolean drainOnce() {
        if (!mMessages.isEmpty()) {
            deliver(0);
            return true;
        }
        if (!mAtTargets.isEmpty()) {
            return true;
        }
        for (String name : NAMES) {
            if (mVms.get(name).timers() > 0) {
                timeOut(name, 0);
                return true;
            }
        }
        return false;
    }

    private static <E> void pick(List<E> elements, int choice, Consumer<E> use) {
        if (!elements.isEmpty()) {
            use.accept(elements.get(choice % elements.size()));
        }
    }

    private static <E> void toggle(Set<E> elements, E element) {
        if (!elements.remove(element)) {
            elements.add(element);
        }
    }
}
