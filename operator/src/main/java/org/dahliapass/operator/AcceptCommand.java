package org.dahliapass.operator;

import java.util.Optional;
import org.dahliapass.decisions.configuration.AcceptOutcome;
import org.dahliapass.decisions.configuration.AcceptProtocol;
import org.dahliapass.decisions.configuration.AcceptRequest;
import org.dahliapass.decisions.configuration.ChangeRecord;
import org.dahliapass.decisions.configuration.Head;
import org.dahliapass.decisions.configuration.StoreAction;
import org.dahliapass.decisions.configuration.StoreKey;
import org.dahliapass.kernel.ExitCode;
import org.dahliapass.model.Endpoint;
import org.dahliapass.registry.ConfigurationStore;

/** Checks a draft, accepts it, and asks the VMs which of them have it in force. */
final class AcceptCommand {
    private final Invocation mInvocation;
    private final Draft mDraft;
    private final ConfigurationStore mStore;

    AcceptCommand(Invocation invocation) {
        mInvocation = invocation;
        mDraft = Draft.read(invocation.argument("file"));
        mStore = invocation.store();
    }

    ExitCode run() throws InterruptedException {
        AcceptRequest request =
                new AcceptRequest(
                        customer(),
                        mDraft.text(),
                        mDraft.services(),
                        mInvocation.environment().operationIds().get(),
                        mInvocation.required("author"),
                        mInvocation.requiredNumber("base"));
        AcceptProtocol accept = new AcceptProtocol(request, Head.RING_CAPACITY);
        AcceptOutcome outcome =
                Invocation.await(mStore.run(accept, action -> printHandle(accept, action)));
        if (outcome instanceof AcceptOutcome.Accepted accepted) {
            return onAccepted(accepted);
        }
        if (outcome instanceof AcceptOutcome.Conflict conflict) {
            return onConflict(request, conflict.current());
        }
        return printOutcome(mInvocation, outcome);
    }

    /** Prints an outcome that needs no more than its message. */
    static ExitCode printOutcome(Invocation invocation, AcceptOutcome outcome) {
        if (outcome instanceof AcceptOutcome.Accepted accepted) {
            invocation.print("Accepted as change " + accepted.number() + ".");
            return ExitCode.OK;
        }
        if (outcome instanceof AcceptOutcome.Unknown unknown) {
            invocation.print("Unknown: the change may be accepted or may still get accepted.");
            invocation.print("Ask later with: resolve " + unknown.handle() + " --store HOST:PORT");
            return ExitCode.UNKNOWN;
        }
        if (outcome instanceof AcceptOutcome.NotAccepted notAccepted) {
            invocation.print("Not accepted. " + notAccepted.reason());
            return ExitCode.FAILED;
        }
        invocation.print("Not accepted: another change of this customer came first.");
        return ExitCode.CONFLICT;
    }

    private String customer() {
        return mDraft.template().customer();
    }

    /**
     * Guards against this process dying while the accept is under way: the operator would not know
     * what to ask for. It holds because the handle is printed before the swap is sent.
     */
    private void printHandle(AcceptProtocol accept, StoreAction action) {
        if (action instanceof StoreAction.Swap swap && swap.key().equals(StoreKey.HEAD)) {
            mInvocation.warn("Sending. If this command dies, ask: resolve " + accept.handle());
        }
    }

    private ExitCode onAccepted(AcceptOutcome.Accepted accepted) throws InterruptedException {
        printOutcome(mInvocation, accepted);
        Optional<Endpoint> vm = mInvocation.endpoint("vm");
        if (vm.isPresent()) {
            new RolloutConfirmation(mInvocation, customer(), accepted.number())
                    .awaitAndPrint(vm.get());
        }
        return ExitCode.OK;
    }

    private ExitCode onConflict(AcceptRequest request, Optional<ChangeRecord> standing)
            throws InterruptedException {
        if (standing.isEmpty()) {
            mInvocation.print("Not accepted: " + customer() + " has no change; use --base 0.");
            return ExitCode.CONFLICT;
        }
        ChangeRecord first = standing.get();
        mInvocation.print(
                String.format(
                        "Not accepted: change %d by %s came first, and you started from %d.",
                        first.number(), first.author(), request.baseNumber()));
        TemplateHistory accepted = TemplateHistory.read(mStore, customer());
        Optional<String> base = baseText(accepted, request.baseNumber());
        mInvocation.print(
                base.isPresent()
                        ? "What changed since " + request.baseNumber() + ":"
                        : "What your draft (-) would have to take from change "
                                + first.number()
                                + " (+); the text you started from is no longer known:");
        String old = base.orElse(mDraft.text().text());
        accepted.text(first)
                .ifPresent(text -> LineDiff.between(old, text).forEach(mInvocation::print));
        mInvocation.print(
                "Your draft is untouched. Work the change in, then accept it with --base "
                        + first.number()
                        + ".");
        return ExitCode.CONFLICT;
    }

    private static Optional<String> baseText(TemplateHistory accepted, long number)
            throws InterruptedException {
        Optional<ChangeRecord> base = accepted.find(number);
        return base.isPresent() ? accepted.text(base.get()) : Optional.empty();
    }
}
