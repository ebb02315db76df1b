package org.dahliapass.spec;

import edu.mit.csail.sdg.alloy4.A4Reporter;
import edu.mit.csail.sdg.alloy4.ErrorWarning;
import edu.mit.csail.sdg.ast.Command;
import edu.mit.csail.sdg.ast.Module;
import edu.mit.csail.sdg.parser.CompUtil;
import edu.mit.csail.sdg.translator.A4Options;
import edu.mit.csail.sdg.translator.TranslateAlloyToKodkod;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.MatchResult;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import kodkod.engine.satlab.SATFactory;

/**
 * A runner for the commands of an Alloy specification, with all guards or with one guard removed.
 *
 * <p>A guard is a predicate whose name starts with {@code guard}. Removing a guard empties the body
 * of its predicate, which then is always true.
 */
final class AlloyRunner {
    private static final Pattern CHECK = Pattern.compile("(?m)^check (\\w+)");
    private static final Pattern GUARD =
            Pattern.compile("pred\\s+(guard\\w+)\\s*(?:\\[[^\\]]*\\])?\\s*\\{");

    private final String mName;
    private final String mSource;

    private AlloyRunner(String name, String source) {
        mName = name;
        mSource = source;
    }

    /** Loads the specification with the file name from the test resources. */
    static AlloyRunner forResource(String name) {
        try (InputStream stream = AlloyRunner.class.getResourceAsStream("/" + name)) {
            if (stream == null) {
                throw new IllegalArgumentException(
                        "specification " + name + " isn't in the test resources");
            }
            String source = new String(stream.readAllBytes(), StandardCharsets.UTF_8);
            return new AlloyRunner(name, source);
        } catch (IOException e) {
            throw new UncheckedIOException("can't read specification " + name, e);
        }
    }

    /** Returns the names of the guards, in source order. */
    List<String> guardNames() {
        return GUARD.matcher(mSource).results().map(match -> match.group(1)).toList();
    }

    /** Returns the names of the checked assertions, in source order. */
    List<String> assertionNames() {
        return CHECK.matcher(mSource).results().map(match -> match.group(1)).toList();
    }

    /**
     * Returns whether the solver finds an instance of a {@code run} command or a counterexample to
     * a {@code check} command.
     */
    boolean isSatisfiable(String commandName) {
        return solve(mSource, commandName, true);
    }

    /** Like {@link #isSatisfiable}, with the guard removed. */
    boolean isSatisfiableWithout(String guard, String commandName) {
        return solve(sourceWithout(guard), commandName, false);
    }

    private String sourceWithout(String guard) {
        Matcher matcher = GUARD.matcher(mSource);
        MatchResult found =
                matcher.results()
                        .filter(match -> match.group(1).equals(guard))
                        .findFirst()
                        .orElseThrow(
                                () ->
                                        new IllegalArgumentException(
                                                "specification has no guard " + guard));
        int bodyEnd = closingBrace(found.end());
        return mSource.substring(0, found.end()) + mSource.substring(bodyEnd);
    }

    private int closingBrace(int bodyStart) {
        int depth = 1;
        int index = bodyStart;
        while (depth > 0) {
            char character = mSource.charAt(index);
            depth += character == '{' ? 1 : 0;
            depth -= character == '}' ? 1 : 0;
            index++;
        }
        return index - 1;
    }

    private boolean solve(String source, String commandName, boolean strict) {
        A4Reporter reporter = strict ? new StrictReporter() : A4Reporter.NOP;
        Module world = CompUtil.parseEverything_fromString(reporter, source);
        Command command = command(world, commandName);
        A4Options options = new A4Options();
        options.solver = SATFactory.get("sat4j");
        return TranslateAlloyToKodkod.execute_command(
                        reporter, world.getAllReachableSigs(), command, options)
                .satisfiable();
    }

    private Command command(Module world, String commandName) {
        return world.getAllCommands().stream()
                .filter(command -> command.label.equals(commandName))
                .findFirst()
                .orElseThrow(
                        () ->
                                new IllegalArgumentException(
                                        "no command " + commandName + " in " + mName));
    }

    /**
     * A reporter that fails on parser warnings. They usually mark an expression that is always
     * empty, with which an assertion would hold vacuously.
     */
    private static final class StrictReporter extends A4Reporter {
        @Override
        public void warning(ErrorWarning warning) {
            throw new AssertionError("Alloy reports a warning: " + warning.msg, warning);
        }
    }
}
