package org.dahliapass.operator;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Collectors;
import org.dahliapass.decisions.configuration.ChangeRecord;
import org.dahliapass.decisions.configuration.OperationHandle;
import org.dahliapass.decisions.configuration.PastOperation;
import org.dahliapass.decisions.configuration.ResolveProtocol;
import org.dahliapass.kernel.ExitCode;
import org.dahliapass.kernel.OperationException;
import org.dahliapass.model.Endpoint;

/** What the command can be asked to do. */
enum Subcommand {
    /** Checks a template and changes nothing. */
    CHECK {
        @Override
        ExitCode run(Invocation invocation) {
            Draft draft = Draft.read(invocation.argument("file"));
            invocation.print(
                    String.format(
                            "Good: customer %s, %d services.",
                            draft.template().customer(), draft.services().size()));
            return ExitCode.OK;
        }
    },
    /** Accepts a template. */
    ACCEPT {
        @Override
        ExitCode run(Invocation invocation) throws InterruptedException {
            return new AcceptCommand(invocation).run();
        }
    },
    /** Prints the text that stands for a customer. */
    SHOW {
        @Override
        ExitCode run(Invocation invocation) throws InterruptedException {
            TemplateHistory accepted = readHistory(invocation);
            ChangeRecord newest =
                    accepted.newest()
                            .orElseThrow(
                                    () ->
                                            new OperationException(
                                                    "show", "store", "No change was accepted."));
            invocation.warn("Change " + newest.number() + " by " + newest.author() + ".");
            String text =
                    accepted.text(newest)
                            .orElseThrow(
                                    () ->
                                            new OperationException(
                                                    "show", "store", "The text is gone."));
            invocation.environment().output().print(text);
            return ExitCode.OK;
        }
    },
    /** Prints the changes of a customer that are still known. */
    HISTORY {
        @Override
        ExitCode run(Invocation invocation) throws InterruptedException {
            TemplateHistory accepted = readHistory(invocation);
            for (PastOperation past : accepted.olderOperations()) {
                invocation.print("change " + past.number() + ", operation " + past.operationId());
            }
            for (ChangeRecord record : accepted.records()) {
                invocation.print(
                        String.format(
                                "change %d by %s from %d, operation %s, digest %s",
                                record.number(),
                                record.author(),
                                record.baseNumber(),
                                record.operationId(),
                                record.digest()));
            }
            return ExitCode.OK;
        }
    },
    /** Tells what became of an accept whose outcome was unknown. */
    RESOLVE {
        @Override
        ExitCode run(Invocation invocation) throws InterruptedException {
            String text = invocation.argument("operation id");
            OperationHandle handle =
                    OperationHandle.parse(text)
                            .orElseThrow(
                                    () ->
                                            new UsageException(
                                                    "'"
                                                            + text
                                                            + "' is no operation id; copy the"
                                                            + " one that accept printed."));
            return AcceptCommand.printOutcome(
                    invocation,
                    Invocation.await(
                            invocation.store().run(new ResolveProtocol(handle), action -> {})));
        }
    },
    /** Prints a VM's report. */
    STATUS {
        @Override
        ExitCode run(Invocation invocation) throws InterruptedException {
            Endpoint vm = invocation.requiredEndpoint("vm");
            invocation.print(Invocation.await(invocation.environment().vms().status(vm)));
            return ExitCode.OK;
        }
    },
    /** Prints what the VMs did by themselves, and why. */
    EXPLAIN {
        @Override
        ExitCode run(Invocation invocation) throws InterruptedException {
            return new ExplainCommand(invocation).run();
        }
    },
    /** Asks a VM to stop gracefully. */
    DRAIN {
        @Override
        ExitCode run(Invocation invocation) throws InterruptedException {
            Endpoint vm = invocation.requiredEndpoint("vm");
            Invocation.await(invocation.environment().vms().drain(vm));
            invocation.print("The VM at " + vm + " is leaving.");
            return ExitCode.OK;
        }
    };

    abstract ExitCode run(Invocation invocation) throws InterruptedException;

    /** Returns the subcommand of this name. */
    static Optional<Subcommand> find(String name) {
        return Arrays.stream(values()).filter(one -> one.commandName().equals(name)).findFirst();
    }

    /** Returns all names, for messages. */
    static String names() {
        return Arrays.stream(values())
                .map(Subcommand::commandName)
                .collect(Collectors.joining(", "));
    }

    private String commandName() {
        return name().toLowerCase(Locale.ROOT);
    }

    private static TemplateHistory readHistory(Invocation invocation) throws InterruptedException {
        return TemplateHistory.read(invocation.store(), invocation.argument("customer"));
    }
}
