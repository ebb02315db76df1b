package org.dahliapass.kernel;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link Program}. */
public final class ProgramTest {
    private final ByteArrayOutputStream mOutput = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mErrors = new ByteArrayOutputStream();
    private RuntimeException mFailure;
    private boolean mRan;

    @BeforeMethod
    public void setUp() {
        mOutput.reset();
        mErrors.reset();
        mFailure = null;
        mRan = false;
    }

    @Test
    public void helpPrintsPurposeAndOptionsWithoutRunning() {
        assertEquals(run("--help"), ExitCode.OK);
        assertTrue(mOutput.toString(StandardCharsets.UTF_8).contains("Tests things."));
        assertTrue(mOutput.toString(StandardCharsets.UTF_8).contains("--depth"));
        assertEquals(mRan, false);
    }

    @Test
    public void versionPrintsNameAndVersionWithoutRunning() {
        assertEquals(run("--version"), ExitCode.OK);
        assertEquals(mOutput.toString(StandardCharsets.UTF_8).trim(), "tester " + Program.VERSION);
        assertEquals(mRan, false);
    }

    @Test
    public void validOptionsRun() {
        assertEquals(run("--depth", "3"), ExitCode.OK);
        assertEquals(mRan, true);
    }

    @Test
    public void unknownOptionIsAUsageError() {
        assertEquals(run("--dept-h", "3"), ExitCode.USAGE);
        assertTrue(mErrors.toString(StandardCharsets.UTF_8).contains("dept-h"));
        assertEquals(mRan, false);
    }

    @Test
    public void optionOfTheWrongTypeIsAUsageError() {
        assertEquals(run("--depth", "deep"), ExitCode.USAGE);
    }

    @Test
    public void invalidSettingsAreAUsageError() {
        mFailure =
                new SettingsException(
                        List.of(new SettingsProblem("f.ini", "s", "k", "'x'", "a y")));

        assertEquals(run(), ExitCode.USAGE);
        assertEquals(
                mErrors.toString(StandardCharsets.UTF_8).trim(),
                "f.ini [s] k: met 'x'; allowed: a y");
    }

    @Test
    public void failurePrintsOperationAndPeer() {
        mFailure = new OperationException("read head", "10.0.0.1:80", "No answer. Is it up?");

        assertEquals(run(), ExitCode.FAILED);
        assertTrue(mErrors.toString(StandardCharsets.UTF_8).contains("read head at 10.0.0.1:80"));
    }

    private ExitCode run(String... arguments) {
        return new TestProgram()
                .main(
                        arguments,
                        new PrintStream(mOutput, true, StandardCharsets.UTF_8),
                        new PrintStream(mErrors, true, StandardCharsets.UTF_8));
    }

    private final class TestProgram extends Program {
        TestProgram() {
            super("tester", "Tests things.");
        }

        @Override
        protected void declareOptions(OptionParser parser) {
            parser.accepts("depth", "How deep.").withRequiredArg().ofType(Integer.class);
        }

        @Override
        protected ExitCode run(OptionSet options) {
            Object unused = options.valueOf("depth");
            mRan = true;
            if (mFailure != null) {
                throw mFailure;
            }
            return ExitCode.OK;
        }
    }
}
