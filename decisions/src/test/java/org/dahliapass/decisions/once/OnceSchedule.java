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

/** Runs one schedule on a few VMs and reports every answer and every run to the oracle. */
final class OnceSchedule {

    private static final List<String> NAMES = List.of("a", "b", "c");
    private static final long START_MILLIS = 1_000_000;
    private static final long SKEW_OFFSET_MILLIS = 9_000;
    private static final int REPEAT_ROUNDS = 6;
    private static final int MAX_DRAIN_ROUNDS = 1_000;

    private record Dispatched(VmIdentity home, Operation operation, int attempt) {}

    private record Link(String from, String to) {}

    private final OnceFault mFault;
    private final OnceOracle mOracle = new OnceOracle();
    private final Map<String, SimulatedVm> mVms = new HashMap<>();
    private final Map<String, Long> mSkews = new HashMap<>();
    private final Set<String> mPaused = new HashSet<>();
    private final Set<Link> mBrokenLinks = new HashSet<>();
    private final List<Envelope> mMessages = new ArrayList<>();
    private final List<Dispatched> mAtTargets = new ArrayList<>();
    private final List<Operation> mOperations = new ArrayList<>();
    private final Map<Operation, OperationAnswer> mLastAnswers = new HashMap<>();
    private long mNowMillis = START_MILLIS;
    private long mIncarnations;

    OnceSchedule(OnceFault fault) {
        mFault = fault;
        NAMES.forEach(this::startVm);
    }

    /** Runs the steps, then ends all faults and delivers all messages in transit. */
    OnceSchedule run(List<OnceStep> steps) {
        steps.forEach(this::perform);
        recoverAndDrain();
        return this;
    }

    /** Repeats every key through every VM while the keys expire one after another. */
    OnceSchedule repeatEverything() {
        for (int round = 0; round < REPEAT_ROUNDS; round++) {
            queryEverywhere();
            mNowMillis += OnceFault.WINDOW.retentionMillis() / (REPEAT_ROUNDS - 2);
        }
        return this;
    }

    List<Operation> operations() {
        return mOperations;
    }

    OperationAnswer lastAnswer(Operation operation) {
        return mLastAnswers.get(operation);
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

    void answerCaller(Operation operation, OperationAnswer answer) {
        mOracle.answered(operation, answer);
        mLastAnswers.put(operation, answer);
    }

    /** Sends every key again through its home. */
    void resendAll() {
        for (Operation operation : mOperations) {
            sendFromCaller(operation.key().home().name(), operation, "x");
        }
        recoverAndDrain();
    }

    private void perform(OnceStep step) {
        String vm = NAMES.get(step.first() % NAMES.size());
        switch (step.kind()) {
            case SEND_NEW -> sendFromCaller(vm, newOperation(step), "x");
            case SEND_AGAIN -> resend(vm, step.second(), "x");
            case SEND_CHANGED -> resend(vm, step.second(), "y");
            case QUERY -> resend(vm, step.second(), "");
            case DELIVER -> deliver(step.first());
            case DROP -> pick(mMessages, step.first(), mMessages::remove);
            case DUPLICATE -> pick(mMessages, step.first(), mMessages::add);
            case RUN_AT_TARGET -> pick(mAtTargets, step.first(), this::runAtTarget);
            case REFUSE_AT_TARGET -> pick(mAtTargets, step.first(), this::refuseAtTarget);
            case TIME_OUT -> timeOut(vm, step.second());
            case RESTART -> startVm(vm);
            case PAUSE_OR_RESUME -> toggle(mPaused, vm);
            case BREAK_OR_REPAIR_LINK ->
                    toggle(mBrokenLinks, new Link(vm, NAMES.get(step.second() % NAMES.size())));
            case ADVANCE -> advance(step);
            case SKEW -> mSkews.merge(vm, step.second() * 20L - SKEW_OFFSET_MILLIS, Long::sum);
        }
    }

    private void startVm(String name) {
        mPaused.remove(name);
        mVms.put(name, new SimulatedVm(new VmIdentity(name, ++mIncarnations), mFault, this));
    }

    private Operation newOperation(OnceStep step) {
        String home = NAMES.get(step.second() % NAMES.size());
        String witness = NAMES.get((step.second() + 1 + step.second() / 3 % 2) % NAMES.size());
        OperationToken token =
                new OperationToken(mVms.get(home).self(), mVms.get(witness).self(), now(home));
        String suffix = Integer.toString(mOperations.size());
        Operation operation = new Operation("suva", new OperationKey(token, suffix));
        mOperations.add(operation);
        return operation;
    }

    private void resend(String vm, int choice, String digest) {
        pick(mOperations, choice, operation -> sendFromCaller(vm, operation, digest));
    }

    private void sendFromCaller(String vm, Operation operation, String digest) {
        if (!mPaused.contains(vm)) {
            mVms.get(vm).onCallerRequest(operation, digest, now(vm));
        }
    }

    private void deliver(int choice) {
        pick(
                mMessages,
                choice,
                envelope -> {
                    if (mPaused.contains(envelope.to())) {
                        return;
                    }
                    mMessages.remove(envelope);
                    if (!mBrokenLinks.contains(new Link(envelope.from().name(), envelope.to()))) {
                        envelope.message()
                                .deliver(
                                        mVms.get(envelope.to()),
                                        envelope.from(),
                                        now(envelope.to()));
                    }
                });
    }

    private void runAtTarget(Dispatched request) {
        mAtTargets.remove(request);
        // A unique status identifies the run of a result.
        RecordedResult result =
                new RecordedResult(1_000 + mOracle.runs(), List.of(), Optional.empty());
        mOracle.ran(request.operation(), result);
        sendToIncarnation(
                request.home(),
                (vm, from, at) -> vm.finished(request.operation(), request.attempt(), result, at));
    }

    private void refuseAtTarget(Dispatched request) {
        mAtTargets.remove(request);
        sendToIncarnation(
                request.home(),
                (vm, from, at) -> vm.refused(request.operation(), request.attempt(), at));
    }

    /** Sends a target's response, which is lost if the dispatching incarnation has ended. */
    private void sendToIncarnation(VmIdentity home, OnceMessage message) {
        send(
                home,
                home.name(),
                (vm, from, at) -> {
                    if (vm.self().equals(home)) {
                        message.deliver(vm, from, at);
                    }
                });
    }

    private void timeOut(String name, int choice) {
        SimulatedVm vm = mVms.get(name);
        if (!mPaused.contains(name) && vm.timers() > 0) {
            vm.timeOut(choice % vm.timers(), now(name));
        }
    }

    private void advance(OnceStep step) {
        boolean large = step.second() % 5 == 0;
        mNowMillis += large ? OnceFault.WINDOW.retentionMillis() : step.second() * 10L;
    }

    private long now(String vm) {
        return mNowMillis + mSkews.getOrDefault(vm, 0L);
    }

    private void queryEverywhere() {
        for (Operation operation : mOperations) {
            for (String name : NAMES) {
                sendFromCaller(name, operation, "x");
                sendFromCaller(name, operation, "");
                recoverAndDrain();
            }
        }
    }

    private void recoverAndDrain() {
        mPaused.clear();
        mBrokenLinks.clear();
        for (int round = 0; round < MAX_DRAIN_ROUNDS && drainOnce(); round++) {
            mAtTargets.stream().toList().forEach(this::runAtTarget);
        }
        if (!mMessages.isEmpty() || !mAtTargets.isEmpty()) {
            throw new AssertionError("Messages are left after " + MAX_DRAIN_ROUNDS + " rounds");
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
