package org.dahliapass.operator;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import joptsimple.OptionSet;
import org.dahliapass.kernel.OperationException;
import org.dahliapass.model.Endpoint;
import org.dahliapass.registry.ConfigurationStore;

/** A single run of the command, with typed access to its options and environment. */
final class Invocation {
    private final OptionSet mOptions;
    private final Environment mEnvironment;

    Invocation(OptionSet options, Environment environment) {
        mOptions = options;
        mEnvironment = environment;
    }

    Environment environment() {
        return mEnvironment;
    }

    /** Prints a line to the standard output. */
    void print(String line) {
        mEnvironment.output().println(line);
    }

    /** Prints a line to the error output. */
    void warn(String line) {
        mEnvironment.errors().println(line);
    }

    /**
     * Returns the subcommand's only argument.
     *
     * @throws UsageException if there isn't exactly one
     */
    String argument(String meaning) {
        if (mOptions.nonOptionArguments().size() != 2) {
            throw new UsageException("Expected exactly one " + meaning + " after the subcommand.");
        }
        return mOptions.nonOptionArguments().get(1).toString();
    }

    Optional<String> option(String name) {
        return Optional.ofNullable((String) mOptions.valueOf(name));
    }

    String required(String name) {
        return option(name)
                .orElseThrow(() -> new UsageException("Option --" + name + " is required."));
    }

    Optional<Endpoint> endpoint(String name) {
        return option(name)
                .map(
                        text ->
                                Endpoint.parse(text)
                                        .orElseThrow(
                                                () ->
                                                        new UsageException(
                                                                "--"
                                                                        + name
                                                                        + " is '"
                                                                        + text
                                                                        + "'; expected"
                                                                        + " HOST:PORT.")));
    }

    Endpoint requiredEndpoint(String name) {
        return endpoint(name)
                .orElseThrow(() -> new UsageException("Option --" + name + " is required."));
    }

    long requiredNumber(String name) {
        String text = required(name);
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException failure) {
            throw new UsageException("--" + name + " is '" + text + "'; expected a whole number.");
        }
    }

    ConfigurationStore store() {
        return new ConfigurationStore(
                mEnvironment.storeFactory().apply(requiredEndpoint("store")),
                mEnvironment.retryDelay());
    }

    /** Waits for a call, which must have a timeout, and rethrows its failure. */
    static <T> T await(CompletableFuture<T> future) throws InterruptedException {
        try {
            return future.get();
        } catch (ExecutionException failure) {
            if (failure.getCause() instanceof OperationException exception) {
                throw exception;
            }
            throw new OperationException(
                    "run", "self", "Unexpected internal error; please report it.", failure);
        }
    }
}
