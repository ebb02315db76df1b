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

/** Accepts a draft and optionally waits until the VMs have applied it. */
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

    /** Prints an outcome and returns its exit code. */
    static ExitCode printOutcome(Invocation invocation, AcceptOutcome outcome) {
        if (outcome instanceof AcceptOutcome.Accepted accepted) {
            invocation.print("Accepted as change " + accepted.number() + ".");
            return ExitCode.OK;
        }
        if (outcome instanceof AcceptOutcome.Unknown unknown) {
            invocation.print("Unknown outcome: the change may have been accepted or may still be.");
            invocation.print(
                    "Check later with: resolve " + unknown.handle() + " --store HOST:PORT");
            return ExitCode.UNKNOWN;
        }
        if (outcome instanceof AcceptOutcome.NotAccepted notAccepted) {
            invocation.print("Not accepted. " + notAccepted.reason());
            return ExitCode.FAILED;
        }
        invocation.print("Not accepted: another change of this customer was accepted first.");
        return ExitCode.CONFLICT;
    }

    private String customer() {
        return mDraft.template().customer();
    }

    /** Prints the handle before the swap is sent, so that an interrupted accept can be resolved. */
    private void printHandle(AcceptProtocol accept, StoreAction action) {
        if (action instanceof StoreAction.Swap swap && swap.key().equals(StoreKey.HEAD)) {
            mInvocation.warn("Sending the change. If interrupted, run: resolve " + accept.handle());
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

    private ExitCode onConflict(AcceptRequest request, Optional<ChangeRecord> current)
            throws InterruptedException {
        if (current.isEmpty()) {
            mInvocation.print(
                    "Not accepted: " + customer() + " has no accepted change; use --base 0.");
            return ExitCode.CONFLICT;
        }
        ChangeRecord newest = current.get();
        mInvocation.print(
                String.format(
                        "Not accepted: newest is change %d by %s, but the draft is based on %d.",
                        newest.number(), newest.author(), request.baseNumber()));
        TemplateHistory history = TemplateHistory.read(mStore, customer());
        Optional<String> base = baseText(history, request.baseNumber());
        mInvocation.print(
                base.isPresent()
                        ? "Changes since " + request.baseNumber() + ":"
                        : "Differences from the draft (-) to change "
                                + newest.number()
                                + " (+), as the base text is no longer stored:");
        String oldText = base.orElse(mDraft.text().text());
        history.text(newest)
                .ifPresent(text -> LineDiff.between(oldText, text).forEach(mInvocation::print));
        mInvocation.print(
                "The draft file is unchanged. Merge the change, then accept it with --base "
                        + newest.number()
                        + ".");
        return ExitCode.CONFLICT;
    }

    private static Optional<String> baseText(TemplateHistory history, long number)
            throws InterruptedException {
        Optional<ChangeRecord> base = history.find(number);
        return base.isPresent() ? history.text(base.get()) : Optional.empty();
    }
}
