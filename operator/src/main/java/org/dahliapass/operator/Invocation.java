package org.dahliapass.operator;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import joptsimple.OptionSet;
import org.dahliapass.kernel.OperationException;
import org.dahliapass.model.Endpoint;
import org.dahliapass.registry.ConfigurationStore;

/** One call of the command: its options, read by typed getters, and its environment. */
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

    /** Prints a line of the result. */
    void print(String line) {
        mEnvironment.output().println(line);
    }

    /** Prints a line that isn't part of the result. */
    void warn(String line) {
        mEnvironment.errors().println(line);
    }

    /** Returns the argument after the subcommand. */
    String argument(String what) {
        if (mOptions.nonOptionArguments().size() != 2) {
            throw new UsageException("Name one " + what + " after the subcommand.");
        }
        return mOptions.nonOptionArguments().get(1).toString();
    }

    Optional<String> option(String name) {
        return Optional.ofNullable((String) mOptions.valueOf(name));
    }

    String required(String name) {
        return option(name).orElseThrow(() -> new UsageException("Give --" + name + "."));
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
                                                                        + "'; write HOST:PORT.")));
    }

    Endpoint requiredEndpoint(String name) {
        return endpoint(name).orElseThrow(() -> new UsageException("Give --" + name + "."));
    }

    long requiredNumber(String name) {
        String text = required(name);
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException failure) {
            throw new UsageException("--" + name + " is '" + text + "'; write a whole number.");
        }
    }

    ConfigurationStore store() {
        return new ConfigurationStore(
                mEnvironment.storeFactory().apply(requiredEndpoint("store")),
                mEnvironment.retryDelay());
    }

    /** Waits for a call, each of which has its own time-out; rethrows its failure. */
    static <T> T await(CompletableFuture<T> future) throws InterruptedException {
        try {
            return future.get();
        } catch (ExecutionException failure) {
            if (failure.getCause() instanceof OperationException step) {
                throw step;
            }
            throw new OperationException("run", "self", "Met a fault of this program.", failure);
        }
    }
}
