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
 * Runs the commands of one Alloy specification, whole or with one guard switched off.
 *
 * <p>A guard is a predicate whose name starts with {@code guard}. Switching it off replaces its
 * body by an empty one, which is always true; nothing else of the text changes.
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

    /** Loads the specification with this file name from the test resources. */
    static AlloyRunner forResource(String name) {
        try (InputStream stream = AlloyRunner.class.getResourceAsStream("/" + name)) {
            if (stream == null) {
                throw new IllegalArgumentException("No specification " + name + "; check the name");
            }
            String source = new String(stream.readAllBytes(), StandardCharsets.UTF_8);
            return new AlloyRunner(name, source);
        } catch (IOException e) {
            throw new UncheckedIOException("Can't read specification " + name, e);
        }
    }

    /** Names the guards of the specification, in the order of the text. */
    List<String> guardNames() {
        return GUARD.matcher(mSource).results().map(match -> match.group(1)).toList();
    }

    /** Names the assertions that the specification checks, in the order of the text. */
    List<String> assertionNames() {
        return CHECK.matcher(mSource).results().map(match -> match.group(1)).toList();
    }

    /**
     * Tells whether the solver finds an instance of a {@code run}, or a counterexample of a {@code
     * check}, in the whole specification.
     */
    boolean isSatisfiable(String commandName) {
        return solve(mSource, commandName, true);
    }

    /** Like {@link #isSatisfiable}, with the named guard switched off. */
    boolean isSatisfiableWithout(String guard, String commandName) {
        return solve(sourceWithout(guard), commandName, false);
    }

    private String sourceWithout(String guard) {
        Matcher matcher = GUARD.matcher(mSource);
        MatchResult found =
                matcher.results()
                        .filter(match -> match.group(1).equals(guard))
                        .findFirst()
                        .orElseThrow(() -> new IllegalArgumentException("No guard " + guard));
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
                                        "No command " + commandName + " in " + mName));
    }

    /**
     * Turns a warning of the parser into a failure: a warned expression is usually always empty, so
     * an assertion built on it would hold for no reason.
     */
    private static final class StrictReporter extends A4Reporter {
        @Override
        public void warning(ErrorWarning warning) {
            throw new AssertionError("The specification has a warning: " + warning.msg, warning);
        }
    }
}
