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

/** The subcommands of the operators' command. */
enum Subcommand {
    /** Validates a template file without accepting it. */
    CHECK {
        @Override
        ExitCode run(Invocation invocation) {
            Draft draft = Draft.read(invocation.argument("file"));
            invocation.print(
                    String.format(
                            "Valid template: customer %s, %d services.",
                            draft.template().customer(), draft.services().size()));
            return ExitCode.OK;
        }
    },
    /** Accepts a template file as a change. */
    ACCEPT {
        @Override
        ExitCode run(Invocation invocation) throws InterruptedException {
            return new AcceptCommand(invocation).run();
        }
    },
    /** Prints the text of a customer's newest template. */
    SHOW {
        @Override
        ExitCode run(Invocation invocation) throws InterruptedException {
            TemplateHistory history = readHistory(invocation);
            ChangeRecord newest =
                    history.newest()
                            .orElseThrow(
                                    () ->
                                            new OperationException(
                                                    "show", "store", "No change was accepted."));
            invocation.warn("Change " + newest.number() + " by " + newest.author() + ".");
            String text =
                    history.text(newest)
                            .orElseThrow(
                                    () ->
                                            new OperationException(
                                                    "show",
                                                    "store",
                                                    "The text is no longer stored."));
            invocation.environment().output().print(text);
            return ExitCode.OK;
        }
    },
    /** Prints the changes of a customer that are still stored. */
    HISTORY {
        @Override
        ExitCode run(Invocation invocation) throws InterruptedException {
            TemplateHistory history = readHistory(invocation);
            for (PastOperation past : history.olderOperations()) {
                invocation.print("change " + past.number() + ", operation " + past.operationId());
            }
            for (ChangeRecord record : history.records()) {
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
    /** Determines the outcome of an accept that ended as unknown. */
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
                                                            + "' isn't a valid operation id; copy"
                                                            + " the one printed by accept."));
            return AcceptCommand.printOutcome(
                    invocation,
                    Invocation.await(
                            invocation.store().run(new ResolveProtocol(handle), action -> {})));
        }
    },
    /** Prints a VM's status. */
    STATUS {
        @Override
        ExitCode run(Invocation invocation) throws InterruptedException {
            Endpoint vm = invocation.requiredEndpoint("vm");
            invocation.print(Invocation.await(invocation.environment().vms().status(vm)));
            return ExitCode.OK;
        }
    },
    /** Prints the VMs' automatic actions and their causes. */
    EXPLAIN {
        @Override
        ExitCode run(Invocation invocation) throws InterruptedException {
            return new ExplainCommand(invocation).run();
        }
    },
    /** Starts a graceful shutdown of a VM. */
    DRAIN {
        @Override
        ExitCode run(Invocation invocation) throws InterruptedException {
            Endpoint vm = invocation.requiredEndpoint("vm");
            Invocation.await(invocation.environment().vms().drain(vm));
            invocation.print("The VM at " + vm + " is draining.");
            return ExitCode.OK;
        }
    };

    abstract ExitCode run(Invocation invocation) throws InterruptedException;

    /** Returns the subcommand with this name, or empty if there is none. */
    static Optional<Subcommand> find(String name) {
        return Arrays.stream(values())
                .filter(subcommand -> subcommand.commandName().equals(name))
                .findFirst();
    }

    /** Returns all names, separated by commas. */
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
