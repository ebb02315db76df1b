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

/** Asks all VMs until each says that a change is in force there, or the time is up. */
final class RolloutConfirmation {
    /** A change must be in force everywhere within this time. */
    private static final Duration ROLLOUT_TIMEOUT = Duration.ofSeconds(6);

    /** So many VMs are asked at once. */
    private static final int MAX_CONCURRENT_REQUESTS = 64;

    /** What a VM says of the change. */
    private enum RolloutState {
        /** It has the change, or a later one, in force. */
        IN_FORCE,
        /** It knows of the change and serves none of the customer's services. */
        NOT_SERVING,
        /** It holds nothing of the customer, and doesn't say whether it knows of the change. */
        NO_TEMPLATE,
        /** It has an older change in force, or hasn't heard of this one. */
        OUTDATED,
        /** It gave no answer. */
        NO_RESPONSE;

        boolean isFinal() {
            return this == IN_FORCE || this == NOT_SERVING;
        }
    }

    private final Invocation mInvocation;
    private final String mCustomer;
    private final long mChangeNumber;
    private final Map<String, RolloutState> mStates = new TreeMap<>();

    RolloutConfirmation(Invocation invocation, String customer, long number) {
        mInvocation = invocation;
        mCustomer = customer;
        mChangeNumber = number;
    }

    /** Asks all members that a VM knows, and prints which of them confirm. */
    void awaitAndPrint(Endpoint vm) throws InterruptedException {
        Environment environment = mInvocation.environment();
        Instant end = environment.clock().instant().plus(ROLLOUT_TIMEOUT);
        List<Member> open = new ArrayList<>(Invocation.await(environment.vms().members(vm)));
        open.sort(Comparator.comparing(Member::name));
        pollAll(open);
        while (!open.isEmpty() && environment.clock().instant().isBefore(end)) {
            Invocation.await(delay(environment.retryDelay()));
            pollAll(open);
        }
        printSummary();
    }

    private void pollAll(List<Member> open) throws InterruptedException {
        for (int first = 0; first < open.size(); first += MAX_CONCURRENT_REQUESTS) {
            pollBatch(open.subList(first, Math.min(open.size(), first + MAX_CONCURRENT_REQUESTS)));
        }
        open.removeIf(member -> mStates.get(member.name()).isFinal());
    }

    private void pollBatch(List<Member> members) throws InterruptedException {
        List<CompletableFuture<RolloutState>> answers = members.stream().map(this::poll).toList();
        for (int place = 0; place < members.size(); place++) {
            mStates.put(members.get(place).name(), Invocation.await(answers.get(place)));
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
        printMembers(RolloutState.IN_FORCE, "have it in force");
        printMembers(RolloutState.OUTDATED, "don't have it in force yet");
        printMembers(RolloutState.NO_RESPONSE, "gave no answer");
        printMembers(RolloutState.NO_TEMPLATE, "hold no template of this customer");
        printMembers(RolloutState.NOT_SERVING, "know of it and serve none of its services");
    }

    private void printMembers(RolloutState answer, String meaning) {
        List<String> names =
                mStates.entrySet().stream()
                        .filter(entry -> entry.getValue() == answer)
                        .map(Map.Entry::getKey)
                        .toList();
        String listed =
                names.isEmpty() || answer == RolloutState.NOT_SERVING
                        ? "."
                        : ": " + String.join(", ", names);
        mInvocation.print(names.size() + " VMs " + meaning + listed);
    }

    private static CompletableFuture<Void> delay(Duration pause) {
        return CompletableFuture.runAsync(
                () -> {},
                CompletableFuture.delayedExecutor(pause.toMillis(), TimeUnit.MILLISECONDS));
    }
}
