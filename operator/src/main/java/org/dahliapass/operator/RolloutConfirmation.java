package org.dahliapass.operator;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.dahliapass.model.Endpoint;

/** Polls all VMs until each has applied a change or a time limit is reached. */
final class RolloutConfirmation {
    /** The time within which all VMs must have applied a change. */
    private static final Duration ROLLOUT_TIMEOUT = Duration.ofSeconds(6);

    private static final int MAX_CONCURRENT_REQUESTS = 64;

    /** The state of the change on a VM. */
    private enum RolloutState {
        /** The VM has applied the change or a later one. */
        IN_FORCE,
        /** The VM knows the change but serves none of the customer's services. */
        NOT_SERVING,
        /** The VM holds no template of the customer and doesn't report its newest change. */
        NO_TEMPLATE,
        /** The VM has not applied the change yet. */
        OUTDATED,
        /** The VM didn't respond. */
        NO_RESPONSE;

        boolean isFinal() {
            return this == IN_FORCE || this == NOT_SERVING;
        }
    }

    private final Invocation mInvocation;
    private final String mCustomer;
    private final long mChangeNumber;
    private final Map<String, RolloutState> mStates = new TreeMap<>();

    RolloutConfirmation(Invocation invocation, String customer, long changeNumber) {
        mInvocation = invocation;
        mCustomer = customer;
        mChangeNumber = changeNumber;
    }

    /** Polls the members listed by a VM until all are final or time runs out; prints the states. */
    void awaitAndPrint(Endpoint vm) throws InterruptedException {
        Environment environment = mInvocation.environment();
        Instant deadline = environment.clock().instant().plus(ROLLOUT_TIMEOUT);
        List<Member> pending = new ArrayList<>(Invocation.await(environment.vms().members(vm)));
        pending.sort(Comparator.comparing(Member::name));
        pollAll(pending);
        while (!pending.isEmpty() && environment.clock().instant().isBefore(deadline)) {
            Invocation.await(delay(environment.retryDelay()));
            pollAll(pending);
        }
        printSummary();
    }

    private void pollAll(List<Member> pending) throws InterruptedException {
        for (int first = 0; first < pending.size(); first += MAX_CONCURRENT_REQUESTS) {
            pollBatch(
                    pending.subList(
                            first, Math.min(pending.size(), first + MAX_CONCURRENT_REQUESTS)));
        }
        pending.removeIf(member -> mStates.get(member.name()).isFinal());
    }

    private void pollBatch(List<Member> members) throws InterruptedException {
        List<CompletableFuture<RolloutState>> states = members.stream().map(this::poll).toList();
        for (int index = 0; index < members.size(); index++) {
            mStates.put(members.get(index).name(), Invocation.await(states.get(index)));
        }
    }

    private CompletableFuture<RolloutState> poll(Member member) {
        return mInvocation
                .environment()
                .vms()
                .template(member.operators(), mCustomer)
                .thenApply(this::stateOf)
                .exceptionally(failure -> RolloutState.NO_RESPONSE);
    }

    private RolloutState stateOf(TemplateStatus template) {
        if (template.held()) {
            return template.changeNumber() >= mChangeNumber
                    ? RolloutState.IN_FORCE
                    : RolloutState.OUTDATED;
        }
        if (template.headNumber() == 0) {
            return RolloutState.NO_TEMPLATE;
        }
        return template.headNumber() >= mChangeNumber
                ? RolloutState.NOT_SERVING
                : RolloutState.OUTDATED;
    }

    private void printSummary() {
        printMembers(RolloutState.IN_FORCE, "have applied the change");
        printMembers(RolloutState.OUTDATED, "haven't applied the change yet");
        printMembers(RolloutState.NO_RESPONSE, "didn't respond");
        printMembers(RolloutState.NO_TEMPLATE, "hold no template of this customer");
        printMembers(RolloutState.NOT_SERVING, "know the change but serve none of its services");
    }

    private void printMembers(RolloutState state, String meaning) {
        List<String> names =
                mStates.entrySet().stream()
                        .filter(entry -> entry.getValue() == state)
                        .map(Map.Entry::getKey)
                        .toList();
        String suffix =
                names.isEmpty() || state == RolloutState.NOT_SERVING
                        ? "."
                        : ": " + String.join(", ", names);
        mInvocation.print(names.size() + " VMs " + meaning + suffix);
    }

    private static CompletableFuture<Void> delay(Duration duration) {
        return CompletableFuture.runAsync(
                () -> {},
                CompletableFuture.delayedExecutor(duration.toMillis(), TimeUnit.MILLISECONDS));
    }
}
