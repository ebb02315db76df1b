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
 * Checks the at-most-once specification {@code once.als} with Alloy and SAT4J.
 *
 * <p>Scope: two addresses, three lives, two sendings to targets; one key over 10 steps for {@code
 * AtMostOnce} and over 9 for {@code NotRunIsTrueForever}; two keys over 8 for {@code
 * ResultIsFromTheRun}.
 */
public final class AtMostOnceSpecificationTest {

    /** A one-line guard, its parameters, its body, and the assertion that fails without it. */
    private static final Pattern GUARD =
            Pattern.compile("(?m)^pred (guard\\w+)(\\[.*?\\]) \\{ .* \\} // (\\w+)$");

    private static final Pattern ANY_GUARD = Pattern.compile("(?m)^pred guard");
    private static final String WHOLE_COURSE = "WholeCourse";

    private String mSpecification;

    /** Reads the specification. */
    @BeforeClass
    public void read() throws IOException {
        // The solver's library logs each translation at INFO, hundreds of lines for these checks.
        System.setProperty("org.slf4j.simpleLogger.log.kodkod", "error");
        try (InputStream stream = getClass().getResourceAsStream("/once.als")) {
            mSpecification = new String(stream.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /** The assertions. */
    @DataProvider
    public Object[][] assertions() {
        return new Object[][] {{"AtMostOnce"}, {"NotRunIsTrueForever"}, {"ResultIsFromTheRun"}};
    }

    /** The guards that the specification names. */
    @DataProvider
    public Object[][] guards() {
        return GUARD.matcher(mSpecification)
                .results()
                .map(guard -> new Object[] {guard.group(1), guard})
                .toArray(Object[][]::new);
    }

    /** The whole protocol has no counterexample within the scope. */
    @Test(dataProvider = "assertions")
    public void assertionHolds(String assertion) {
        assertFalse(isSatisfiable(mSpecification, assertion), assertion + " has a counterexample.");
    }

    /** A request can be rejected by one target, run at the next and be answered by its result. */
    @Test
    public void wholeCourseIsPossible() {
        assertTrue(isSatisfiable(mSpecification, WHOLE_COURSE), "The protocol does nothing.");
    }

    /** Each guard alone is needed: without it there is a counterexample. */
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
                guard.group(3) + " holds without " + name + ", so the guard is idle.");
    }

    /** No guard is left out of these checks by the way it is written. */
    @Test
    public void everyGuardIsChecked() {
        long written = ANY_GUARD.matcher(mSpecification).results().count();
        assertEquals(guards().length, written, "Write each guard on one line with its assertion.");
        assertTrue(written > 0, "once.als names no guard.");
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
