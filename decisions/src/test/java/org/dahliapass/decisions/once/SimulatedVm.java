package org.dahliapass.decisions.once;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dahliapass.model.VmIdentity;

/** One VM incarnation in a schedule, with the production classes wired as by the adapters. */
final class SimulatedVm {

    private static final int CALLER = -1;
    private static final long DEADLINE_MILLIS = 20_000;

    private record Waiter(String vm, int exchange) {}

    private record Exchange(Operation operation, String digest, boolean atWitness) {}

    private final VmIdentity mSelf;
    private final OnceSchedule mSchedule;
    private final HomeLedger mLedger;
    private final WitnessRegister mRegister;
    private final Resolver mResolver;
    private final Map<Operation, List<Waiter>> mWaiters = new HashMap<>();
    private final Map<Integer, Exchange> mExchanges = new LinkedHashMap<>();
    private final Map<Operation, Integer> mOpenAttempts = new LinkedHashMap<>();
    private int mNextExchange;

    SimulatedVm(VmIdentity self, OnceFault fault, OnceSchedule schedule) {
        mSelf = self;
        mSchedule = schedule;
        mLedger = fault.ledger(self);
        mRegister = fault.register(self);
        mResolver = fault.resolver(self, mRegister);
    }

    VmIdentity self() {
        return mSelf;
    }

    /** Processes a request of a caller or, with an empty digest, a query for its outcome. */
    void onCallerRequest(Operation operation, String digest, long now) {
        request(operation, digest, new Waiter(mSelf.name(), CALLER), now);
    }

    void finished(Operation operation, int attempt, RecordedResult result, long now) {
        act(operation, mLedger.finished(operation, attempt, result, now));
    }

    void refused(Operation operation, int attempt, long now) {
        act(operation, mLedger.targetRefused(operation, attempt, true, now));
    }

    /** Returns the number of pending timeouts. */
    int timers() {
        return mOpenAttempts.size() + mExchanges.size();
    }

    /** Fires the selected timeout. */
    void timeOut(int choice, long now) {
        if (choice < mOpenAttempts.size()) {
            Operation operation = nth(mOpenAttempts.keySet(), choice);
            int attempt = mOpenAttempts.remove(operation);
            HomeAction action =
                    attempt == 0
                            ? mLedger.witnessTimedOut(operation, now)
                            : mLedger.responseLost(operation, attempt, now);
            act(operation, action);
            return;
        }
        int id = nth(mExchanges.keySet(), choice - mOpenAttempts.size());
        Exchange exchange = mExchanges.get(id);
        step(
                id,
                exchange.atWitness()
                        ? mResolver.witnessUnavailable()
                        : mResolver.homeUnavailable(exchange.operation(), now));
    }

    private void request(Operation operation, String digest, Waiter waiter, long now) {
        if (digest.isEmpty()) {
            Optional<OperationAnswer> known = mLedger.query(operation, now);
            known.ifPresentOrElse(
                    answer -> answer(operation, waiter, answer),
                    () -> resolve(operation, digest, waiter, now));
            return;
        }
        BeginResult beginResult = mLedger.begin(operation, digest, now + DEADLINE_MILLIS, now);
        if (beginResult instanceof BeginResult.SendIntent sendIntent) {
            mWaiters.computeIfAbsent(operation, key -> new ArrayList<>()).add(waiter);
            mOpenAttempts.put(operation, 0);
            send(sendIntent.witness(), (vm, from, at) -> vm.intent(from, operation, at));
        } else if (beginResult instanceof BeginResult.Answered known) {
            answer(operation, waiter, known.answer());
        } else {
            resolve(operation, digest, waiter, now);
        }
    }

    private void resolve(Operation operation, String digest, Waiter waiter, long now) {
        // A request is forwarded only once; the forwarding VM continues with its resolver.
        if (waiter.exchange() != CALLER) {
            answer(operation, waiter, new OperationAnswer.Unknown(UnknownReason.NO_WORD));
            return;
        }
        int id = mNextExchange++;
        mExchanges.put(id, new Exchange(operation, digest, false));
        step(id, mResolver.start(operation, now));
    }

    private void step(int id, ResolverStep step) {
        Exchange exchange = mExchanges.get(id);
        Operation operation = exchange.operation();
        String digest = exchange.digest();
        if (step instanceof ResolverStep.ForwardToHome to) {
            Waiter waiter = new Waiter(mSelf.name(), id);
            send(to.home(), (vm, from, at) -> vm.request(operation, digest, waiter, at));
        } else if (step instanceof ResolverStep.QueryWitness to) {
            mExchanges.put(id, new Exchange(operation, digest, true));
            send(to.witness(), (vm, from, at) -> vm.onQuery(from, operation, id, at));
        } else if (step instanceof ResolverStep.Answer known) {
            mExchanges.remove(id);
            mSchedule.answerCaller(operation, known.answer());
        }
    }

    private void intent(VmIdentity home, Operation operation, long now) {
        IntentReply reply = mRegister.recordIntent(home, operation, now);
        send(
                home,
                (vm, from, at) ->
                        vm.act(operation, vm.mLedger.witnessReplied(operation, reply, at)));
    }

    private void onQuery(VmIdentity sender, Operation operation, int id, long now) {
        OperationAnswer answer = mRegister.resolve(operation, now);
        send(sender, (vm, from, at) -> vm.witnessAnswered(from, operation, id, answer));
    }

    private void witnessAnswered(
            VmIdentity from, Operation operation, int id, OperationAnswer answer) {
        if (isOpen(id, operation)) {
            step(id, mResolver.witnessAnswered(operation, from, answer));
        }
    }

    private void homeAnswered(
            VmIdentity from, Operation operation, int id, OperationAnswer answer, long now) {
        if (isOpen(id, operation) && !mExchanges.get(id).atWitness()) {
            step(id, mResolver.homeAnswered(operation, from, answer, now));
        }
    }

    private boolean isOpen(int id, Operation operation) {
        Exchange exchange = mExchanges.get(id);
        return exchange != null && exchange.operation().equals(operation);
    }

    private void act(Operation operation, HomeAction action) {
        if (action instanceof HomeAction.Dispatch dispatch) {
            mOpenAttempts.put(operation, dispatch.attempt());
            mSchedule.dispatch(mSelf, operation, dispatch.attempt());
        } else if (action instanceof HomeAction.Respond settle) {
            mOpenAttempts.remove(operation);
            List<Waiter> waiters = mWaiters.remove(operation);
            if (waiters != null) {
                waiters.forEach(waiter -> answer(operation, waiter, settle.answer()));
            }
            settle.notice().ifPresent(this::notifyWitness);
        }
    }

    private void notifyWitness(OutcomeNotice notice) {
        send(
                notice.operation().key().witness(),
                (vm, from, at) -> vm.mRegister.recordOutcome(from, notice, at));
    }

    private void answer(Operation operation, Waiter waiter, OperationAnswer answer) {
        if (waiter.exchange() == CALLER) {
            mSchedule.answerCaller(operation, answer);
            return;
        }
        mSchedule.send(
                mSelf,
                waiter.vm(),
                (vm, from, at) -> vm.homeAnswered(from, operation, waiter.exchange(), answer, at));
    }

    private void send(VmIdentity vm, OnceMessage message) {
        mSchedule.send(mSelf, vm.name(), message);
    }

    private static <E> E nth(Collection<E> elements, int index) {
        return new ArrayList<>(elements).get(index);
    }
}
