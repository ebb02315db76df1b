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
final class Confirmations {
    /** A change must be in force everywhere within this time. */
    private static final Duration LIMIT = Duration.ofSeconds(6);

    /** So many VMs are asked at once. */
    private static final int BATCH = 64;

    /** What a VM says of the change. */
    private enum Answer {
        /** It has the change, or a later one, in force. */
        CONFIRMS,
        /** It knows of the change and serves none of the customer's services. */
        NOT_SERVING,
        /** It holds nothing of the customer, and doesn't say whether it knows of the change. */
        HOLDS_NOTHING,
        /** It has an older change in force, or hasn't heard of this one. */
        BEHIND,
        /** It gave no answer. */
        SILENT;

        boolean isFinal() {
            return this == CONFIRMS || this == NOT_SERVING;
        }
    }

    private final Invocation mInvocation;
    private final String mCustomer;
    private final long mNumber;
    private final Map<String, Answer> mAnswers = new TreeMap<>();

    Confirmations(Invocation invocation, String customer, long number) {
        mInvocation = invocation;
        mCustomer = customer;
        mNumber = number;
    }

    /** Asks all members that a VM knows, and prints which of them confirm. */
    void gather(Endpoint vm) throws InterruptedException {
        Environment environment = mInvocation.environment();
        Instant end = environment.clock().instant().plus(LIMIT);
        List<Member> open = new ArrayList<>(Invocation.await(environment.vms().members(vm)));
        open.sort(Comparator.comparing(Member::name));
        askAll(open);
        while (!open.isEmpty() && environment.clock().instant().isBefore(end)) {
            Invocation.await(pause(environment.pause()));
            askAll(open);
        }
        report();
    }

    private void askAll(List<Member> open) throws InterruptedException {
        for (int first = 0; first < open.size(); first += BATCH) {
            askBatch(open.subList(first, Math.min(open.size(), first + BATCH)));
        }
        open.removeIf(member -> mAnswers.get(member.name()).isFinal());
    }

    private void askBatch(List<Member> members) throws InterruptedException {
        List<CompletableFuture<Answer>> answers = members.stream().map(this::ask).toList();
        for (int place = 0; place < members.size(); place++) {
            mAnswers.put(members.get(place).name(), Invocation.await(answers.get(place)));
        }
    }

    private CompletableFuture<Answer> ask(Member member) {
        return mInvocation
                .environment()
                .vms()
                .template(member.operators(), mCustomer)
                .thenApply(this::judge)
                .exceptionally(failure -> Answer.SILENT);
    }

    private Answer judge(HeldTemplate template) {
        if (template.held()) {
            return template.number() >= mNumber ? Answer.CONFIRMS : Answer.BEHIND;
        }
        if (template.headNumber() == 0) {
            return Answer.HOLDS_NOTHING;
        }
        return template.headNumber() >= mNumber ? Answer.NOT_SERVING : Answer.BEHIND;
    }

    private void report() {
        print(Answer.CONFIRMS, "have it in force");
        print(Answer.BEHIND, "don't have it in force yet");
        print(Answer.SILENT, "gave no answer");
        print(Answer.HOLDS_NOTHING, "hold no template of this customer");
        print(Answer.NOT_SERVING, "know of it and serve none of its services");
    }

    private void print(Answer answer, String meaning) {
        List<String> names =
                mAnswers.entrySet().stream()
                        .filter(entry -> entry.getValue() == answer)
                        .map(Map.Entry::getKey)
                        .toList();
        String listed =
                names.isEmpty() || answer == Answer.NOT_SERVING
                        ? "."
                        : ": " + String.join(", ", names);
        mInvocation.print(names.size() + " VMs " + meaning + listed);
    }

    private static CompletableFuture<Void> pause(Duration pause) {
        return CompletableFuture.runAsync(
                () -> {},
                CompletableFuture.delayedExecutor(pause.toMillis(), TimeUnit.MILLISECONDS));
    }
}
