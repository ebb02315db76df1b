package org.dahliapass.kernel;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/**
 * A command-line program with the options {@code --help} and {@code --version} and common exit
 * codes.
 */
public abstract class Program {
    /** The release that {@code --version} prints. */
    public static final String VERSION = "0.1.0";

    private final String mName;
    private final String mPurpose;

    /** Creates the program with the name of its launcher and a one-sentence description. */
    protected Program(String name, String purpose) {
        mName = name;
        mPurpose = purpose;
    }

    /** Declares the options specific to this program. */
    protected abstract void declareOptions(OptionParser parser);

    /**
     * Runs the program.
     *
     * @return the exit code of the process
     * @throws SettingsException if a settings file is invalid; printed, exit code 2
     * @throws OperationException if an operation failed; printed, exit code 1
     */
    protected abstract ExitCode run(OptionSet options) throws InterruptedException;

    /** Runs the program with arguments and returns the exit code. */
    public final ExitCode main(String[] arguments, PrintStream output, PrintStream errors) {
        OptionParser parser = new OptionParser();
        parser.accepts("help", "Print this help.").forHelp();
        parser.accepts("version", "Print the version.").forHelp();
        declareOptions(parser);
        try {
            OptionSet options = parser.parse(arguments);
            if (options.has("help")) {
                return printHelp(parser, output);
            }
            if (options.has("version")) {
                output.println(mName + " " + VERSION);
                return ExitCode.OK;
            }
            return run(options);
        } catch (OptionException failure) {
            errors.println(mName + ": " + failure.getMessage() + ". See --help.");
            return ExitCode.USAGE;
        } catch (SettingsException failure) {
            errors.println(failure.getMessage());
            return ExitCode.USAGE;
        } catch (OperationException failure) {
            errors.println(mName + ": " + failure.getMessage());
            return ExitCode.FAILED;
        } catch (InterruptedException failure) {
            Thread.currentThread().interrupt();
            errors.println(mName + ": interrupted.");
            return ExitCode.FAILED;
        }
    }

    private ExitCode printHelp(OptionParser parser, PrintStream output) {
        output.println(mName + ": " + mPurpose);
        try {
            parser.printHelpOn(output);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        return ExitCode.OK;
    }
}
