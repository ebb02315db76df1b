package org.dahliapass.spec;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import edu.mit.csail.sdg.alloy4.A4Reporter;
import edu.mit.csail.sdg.ast.Command;
import edu.mit.csail.sdg.parser.CompModule;
import edu.mit.csail.sdg.parser.CompUtil;
import edu.mit.csail.sdg.translator.A4Options;
import edu.mit.csail.sdg.translator.TranslateAlloyToKodkod;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import kodkod.engine.satlab.SATFactory;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Checks the at-most-once protocol of {@code once.als}.
 *
 * <p>Scope: 2 addresses, 3 incarnations, 2 dispatches to targets; 1 key over 10 steps for {@code
 * AtMostOnce} and over 9 for {@code NotRunIsTrueForever}; 2 keys over 8 steps for {@code
 * ResultIsFromTheRun}.
 */
public final class AtMostOnceSpecificationTest {

    /** Matches a one-line guard; groups: name, parameters, assertion that fails without it. */
    private static final Pattern GUARD =
            Pattern.compile("(?m)^pred (guard\\w+)(\\[.*?\\]) \\{ .* \\} // (\\w+)$");

    private static final Pattern ANY_GUARD = Pattern.compile("(?m)^pred guard");
    private static final String COMPLETE_RUN = "WholeCourse";

    private String mSpecification;

    /** Loads the specification from the test resources. */
    @BeforeClass
    public void loadSpecification() throws IOException {
        // Kodkod logs each translation at INFO.
        System.setProperty("org.slf4j.simpleLogger.log.kodkod", "error");
        try (InputStream stream = getClass().getResourceAsStream("/once.als")) {
            mSpecification = new String(stream.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /** Provides the names of the assertions. */
    @DataProvider
    public Object[][] assertions() {
        return new Object[][] {{"AtMostOnce"}, {"NotRunIsTrueForever"}, {"ResultIsFromTheRun"}};
    }

    /** Provides the guards of the specification. */
    @DataProvider
    public Object[][] guards() {
        return GUARD.matcher(mSpecification)
                .results()
                .map(guard -> new Object[] {guard.group(1), guard})
                .toArray(Object[][]::new);
    }

    /** Requires that the protocol has no counterexample within the scope. */
    @Test(dataProvider = "assertions")
    public void assertionHolds(String assertion) {
        assertFalse(isSatisfiable(mSpecification, assertion), assertion + " has a counterexample");
    }

    /** Requires a trace in which one target rejects a request and another one executes it. */
    @Test
    public void completeRunIsPossible() {
        assertTrue(
                isSatisfiable(mSpecification, COMPLETE_RUN),
                "no trace reaches a result after a rejected dispatch");
    }

    /** Requires a counterexample for each guard that is removed. */
    @Test(dataProvider = "guards")
    public void guardIsNeeded(String name, MatchResult guard) {
        String weakened =
                mSpecification.substring(0, guard.start())
                        + "pred "
                        + name
                        + guard.group(2)
                        + " {}"
                        + mSpecification.substring(guard.end());
        assertTrue(
                isSatisfiable(weakened, guard.group(3)),
                guard.group(3) + " holds without " + name + ": the guard is redundant");
    }

    /** Requires that the pattern matches every guard. */
    @Test
    public void everyGuardIsChecked() {
        long guardCount = ANY_GUARD.matcher(mSpecification).results().count();
        assertEquals(
                guards().length, guardCount, "each guard must be on one line with its assertion");
        assertTrue(guardCount > 0, "once.als has no guard");
    }

    private static boolean isSatisfiable(String specification, String label) {
        CompModule module = CompUtil.parseEverything_fromString(A4Reporter.NOP, specification);
        List<Command> commands = module.getAllCommands();
        Command command =
                commands.stream()
                        .filter(candidate -> candidate.label.equals(label))
                        .findFirst()
                        .orElseThrow();
        A4Options options = new A4Options();
        options.solver = SATFactory.get("sat4j");
        return TranslateAlloyToKodkod.execute_command(
                        A4Reporter.NOP, module.getAllReachableSigs(), command, options)
                .satisfiable();
    }
}
