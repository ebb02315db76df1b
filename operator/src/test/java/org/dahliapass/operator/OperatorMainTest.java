package org.dahliapass.operator;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.dahliapass.kernel.ExitCode;
import org.dahliapass.model.Endpoint;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the arguments, output and exit codes of {@link OperatorMain}. */
public final class OperatorMainTest {
    private static final Endpoint VM_1 = new Endpoint("10.0.0.1", 82);
    private static final Endpoint VM_2 = new Endpoint("10.0.0.2", 82);
    private static final Endpoint VM_3 = new Endpoint("10.0.0.3", 82);

    private InMemoryStoreClient mStore;
    private FakeVmClient mVms;
    private ByteArrayOutputStream mOutput;
    private Path mDraft;
    private int mOperations;

    /** A clock that advances by one second on each read, so that waits end. */
    private static final class SteppingClock extends Clock {
        private Instant mNow = Instant.EPOCH;

        @Override
        public ZoneId getZone() {
            return ZoneOffset.UTC;
        }

        @Override
        public Clock withZone(ZoneId zone) {
            return this;
        }

        @Override
        public Instant instant() {
            mNow = mNow.plusSeconds(1);
            return mNow;
        }
    }

    @BeforeMethod
    public void setUp() throws IOException {
        mStore = new InMemoryStoreClient();
        mVms = new FakeVmClient();
        mOutput = new ByteArrayOutputStream();
        mDraft = Files.createTempFile("draft", ".ini");
        mOperations = 0;
        write("20");
    }

    @AfterMethod
    public void tearDown() throws IOException {
        Files.delete(mDraft);
    }

    private void write(String rate) throws IOException {
        Files.writeString(
                mDraft,
                """
                [template]
                customer = valley-audit

                [service desk]
                provider = himal

                [kind desk listing]
                method = GET
                path = /listings/**
                idempotent = yes
                deadline = 60s
                patience = 30s
                late-after = 20s
                maximum-body = 0B
                rate = %s
                objective = 99.5%%
                """
                        .formatted(rate));
    }

    private ExitCode run(String... arguments) {
        PrintStream output = new PrintStream(mOutput, true, StandardCharsets.UTF_8);
        Environment environment =
                new Environment(
                        store -> mStore,
                        mVms,
                        () -> "op-" + ++mOperations,
                        new SteppingClock(),
                        Duration.ofMillis(1),
                        output,
                        output);
        return new OperatorMain(environment).main(arguments, output, output);
    }

    private ExitCode accept(String base, String author, String... extra) {
        mOutput.reset();
        String[] arguments = new String[8 + extra.length];
        String[] required = {
            "accept", mDraft.toString(), "--store", "10.0.0.9:1", "--base", base, "--author", author
        };
        System.arraycopy(required, 0, arguments, 0, required.length);
        System.arraycopy(extra, 0, arguments, required.length, extra.length);
        return run(arguments);
    }

    private String output() {
        return mOutput.toString(StandardCharsets.UTF_8);
    }

    private void assertPrinted(String part) {
        assertTrue(output().contains(part), output());
    }

    @Test
    public void checkReportsValidTemplate() {
        assertEquals(run("check", mDraft.toString()), ExitCode.OK);
        assertPrinted("Valid template: customer valley-audit, 1 services.");
    }

    @Test
    public void acceptOfBadTemplateWritesNothing() throws IOException {
        write("fast");
        assertEquals(accept("0", "Asha"), ExitCode.USAGE);
        assertPrinted("'fast'");
        assertTrue(mStore.isEmpty());
    }

    @Test
    public void acceptWithoutBaseWritesNothing() {
        assertEquals(
                run("accept", mDraft.toString(), "--store", "10.0.0.9:1", "--author", "Asha"),
                ExitCode.USAGE);
        assertPrinted("Option --base is required.");
        assertTrue(mStore.isEmpty());
    }

    @Test
    public void acceptedTemplateIsShownAndListed() {
        assertEquals(accept("0", "Asha"), ExitCode.OK);
        assertPrinted("Accepted as change 1.");
        assertEquals(run("show", "valley-audit", "--store", "10.0.0.9:1"), ExitCode.OK);
        assertPrinted("rate = 20");
        assertEquals(run("history", "valley-audit", "--store", "10.0.0.9:1"), ExitCode.OK);
        assertPrinted("change 1 by Asha from 0, operation op-1");
    }

    // A concurrent change must not be overwritten, and the operator's draft file must not change.
    @Test
    public void conflictPrintsAuthorAndDifference() throws IOException {
        accept("0", "Asha");
        write("30");
        accept("1", "Bela");
        write("40");
        String draft = Files.readString(mDraft);
        assertEquals(accept("1", "Asha"), ExitCode.CONFLICT);
        assertPrinted("newest is change 2 by Bela, but the draft is based on 1.");
        assertPrinted("-rate = 20" + System.lineSeparator() + "+rate = 30");
        assertEquals(Files.readString(mDraft), draft);
    }

    @Test
    public void lostResponseResolvesToAccepted() {
        mStore.loseNextHeadResponse(false);
        assertEquals(accept("0", "Asha"), ExitCode.OK);
        assertPrinted("Accepted as change 1.");
    }

    @Test
    public void storeUnavailableAfterLostResponseIsUnknownUntilResolved() {
        mStore.loseNextHeadResponse(true);
        assertEquals(accept("0", "Asha"), ExitCode.UNKNOWN);
        Matcher command = Pattern.compile("with: resolve (\\S+)").matcher(output());
        assertTrue(command.find(), output());
        mStore.makeAvailable();
        mOutput.reset();
        assertEquals(run("resolve", command.group(1), "--store", "10.0.0.9:1"), ExitCode.OK);
        assertPrinted("Accepted as change 1.");
    }

    @Test
    public void resolveOfUnsentAcceptIsNotAccepted() {
        accept("0", "Asha");
        assertEquals(
                run("resolve", "op-9/valley-audit/4/2", "--store", "10.0.0.9:1"), ExitCode.FAILED);
        assertPrinted("Not accepted.");
    }

    @Test
    public void rolloutConfirmationListsVmsByState() {
        mVms.mMembers.add(new Member("vm-1", VM_1, "alive"));
        mVms.mMembers.add(new Member("vm-2", VM_2, "alive"));
        mVms.mMembers.add(new Member("vm-3", VM_3, "suspect"));
        mVms.mTemplates.put(VM_1, new TemplateStatus(true, 1, 1));
        mVms.mTemplates.put(VM_2, new TemplateStatus(false, 0, 0));
        assertEquals(accept("0", "Asha", "--vm", "10.0.0.1:82"), ExitCode.OK);
        assertPrinted("1 VMs have applied the change: vm-1");
        assertPrinted("1 VMs hold no template of this customer: vm-2");
        assertPrinted("1 VMs didn't respond: vm-3");
    }

    @Test
    public void explanationsAreMergedInTimeOrder() {
        mVms.mMembers.add(new Member("vm-1", VM_1, "alive"));
        mVms.mMembers.add(new Member("vm-2", VM_2, "alive"));
        mVms.mExplanations.put(VM_1, List.of(explanation(3, "vm-1"), explanation(5, "vm-1")));
        mVms.mExplanations.put(VM_2, List.of(explanation(4, "vm-2")));
        assertEquals(run("explain", "--vm", "10.0.0.1:82", "--since", "10m"), ExitCode.OK);
        List<String> vms = output().lines().map(line -> line.split(" ", -1)[1]).toList();
        assertEquals(vms, List.of("vm-1", "vm-2", "vm-1"));
    }

    @Test
    public void explainListsUnresponsiveVms() {
        mVms.mMembers.add(new Member("vm-3", VM_3, "alive"));
        assertEquals(run("explain", "--vm", "10.0.0.1:82"), ExitCode.FAILED);
        assertPrinted("No response from: vm-3.");
    }

    @Test
    public void unknownSubcommandListsSubcommands() {
        assertEquals(run("acept"), ExitCode.USAGE);
        assertPrinted("Unknown subcommand 'acept'; expected one of check, accept, show");
        assertFalse(output().contains("Exception"), output());
    }

    private static Explanation explanation(long atMillis, String vm) {
        return new Explanation(atMillis, vm, "EJECTED", "10.1.1.1:80", "fails", "9/10", "share");
    }
}
