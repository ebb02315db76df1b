package org.dahliapass.decisions.once;

import static org.dahliapass.decisions.once.OnceFixtures.HOME;
import static org.dahliapass.decisions.once.OnceFixtures.HOME_RESTARTED;
import static org.dahliapass.decisions.once.OnceFixtures.ISSUED;
import static org.dahliapass.decisions.once.OnceFixtures.LIMITS;
import static org.dahliapass.decisions.once.OnceFixtures.OPERATION;
import static org.dahliapass.decisions.once.OnceFixtures.RESULT;
import static org.dahliapass.decisions.once.OnceFixtures.WINDOW;
import static org.dahliapass.decisions.once.OnceFixtures.WITNESS;
import static org.dahliapass.decisions.once.OnceFixtures.notRun;
import static org.dahliapass.decisions.once.OnceFixtures.operation;
import static org.dahliapass.decisions.once.OnceFixtures.unknown;
import static org.testng.Assert.assertEquals;

import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link HomeLedger}. */
public final class HomeLedgerTest {

    private static final long DEADLINE = ISSUED + 5_000;
    private static final long EXPIRED = ISSUED + WINDOW.retentionMillis() + 1;
    private static final HomeAction IGNORE = new HomeAction.Ignore();

    private HomeLedger mLedger;

    /** Each case begins with an empty ledger. */
    @BeforeMethod
    public void makeLedger() {
        mLedger = new HomeLedger(HOME, 2, WINDOW, LIMITS);
    }

    /** One request, repeated at each stage: one dispatch, and the recorded result in the end. */
    @Test
    public void repeatsNeverDispatchAgain() {
        assertEquals(begin("x"), new BeginResult.SendIntent(WITNESS));
        assertEquals(begin("x"), answered(new OperationAnswer.InProgress()));
        assertEquals(accepted(), new HomeAction.Dispatch(1));
        assertEquals(accepted(), IGNORE);
        assertEquals(begin("x"), answered(new OperationAnswer.InProgress()));
        OperationAnswer result = new OperationAnswer.Result(RESULT);
        assertEquals(
                mLedger.finished(OPERATION, 1, RESULT, ISSUED),
                settled(result, OutcomeNotice.ran(OPERATION, RESULT)));
        assertEquals(begin("x"), answered(result));
        assertEquals(begin("y"), answered(new OperationAnswer.Mismatch()));
    }

    /**
     * The witness's acknowledgement takes longer than the caller waits, so the caller is told "not
     * run" and sends under a new key. Then the acknowledgement arrives; it must start nothing.
     */
    @Test
    public void witnessTimedOutIsFinal() {
        begin("x");
        OperationAnswer answer = notRun(NotRunReason.WITNESS_SILENT);
        assertEquals(
                mLedger.witnessTimedOut(OPERATION, ISSUED),
                settled(answer, OutcomeNotice.abandoned(OPERATION)));
        assertEquals(accepted(), IGNORE);
        assertEquals(begin("x"), answered(answer));
        assertEquals(mLedger.query(OPERATION, ISSUED), Optional.of(answer));
    }

    /** Whatever the witness replies but an acknowledgement ends in "not run". */
    @Test
    public void witnessRepliedWithARefusalIsFinal() {
        begin("x");
        assertEquals(
                mLedger.witnessReplied(OPERATION, IntentReply.FULL, ISSUED),
                settled(notRun(NotRunReason.WITNESS_FULL), OutcomeNotice.abandoned(OPERATION)));
        assertEquals(accepted(), IGNORE);
    }

    /** A home that is frozen past the deadline wakes, gives up and stays with that. */
    @Test
    public void witnessRepliedAfterTheDeadlineDispatchesNothing() {
        begin("x");
        assertEquals(
                mLedger.witnessReplied(OPERATION, IntentReply.ACCEPTED, DEADLINE + 1),
                settled(notRun(NotRunReason.DEADLINE_PASSED), OutcomeNotice.abandoned(OPERATION)));
    }

    /** A home that is frozen past the key's window wakes and knows the key no more. */
    @Test
    public void witnessRepliedAfterTheWindowDispatchesNothing() {
        begin("x");
        OperationAnswer expired = unknown(UnknownReason.EXPIRED);
        assertEquals(
                mLedger.witnessReplied(OPERATION, IntentReply.ACCEPTED, EXPIRED),
                new HomeAction.Respond(expired, Optional.empty()));
        assertEquals(mLedger.begin(OPERATION, "x", EXPIRED, EXPIRED), answered(expired));
    }

    /**
     * A target refuses an attempt and the next target gets it. The refusal is reported twice; the
     * second report must not start a third run beside the second.
     */
    @Test
    public void targetRefusedCountsOnceForItsAttempt() {
        begin("x");
        accepted();
        assertEquals(mLedger.targetRefused(OPERATION, 1, true, ISSUED), new HomeAction.Dispatch(2));
        assertEquals(mLedger.targetRefused(OPERATION, 1, true, ISSUED), IGNORE);
        assertEquals(
                mLedger.targetRefused(OPERATION, 2, true, ISSUED),
                settled(notRun(NotRunReason.TARGETS_REFUSED), OutcomeNotice.abandoned(OPERATION)));
    }

    /** A broken connection is no proof; the late answer settles it. */
    @Test
    public void lostTouchIsUnknownUntilTheAnswerComes() {
        begin("x");
        accepted();
        OperationAnswer unknown = unknown(UnknownReason.MAY_HAVE_RUN);
        assertEquals(
                mLedger.responseLost(OPERATION, 1, ISSUED),
                new HomeAction.Respond(unknown, Optional.empty()));
        assertEquals(begin("x"), answered(unknown));
        mLedger.finished(OPERATION, 1, RESULT, ISSUED);
        assertEquals(begin("x"), answered(new OperationAnswer.Result(RESULT)));
    }

    /** A restarted home runs nothing of its former life. */
    @Test
    public void beginLeavesOtherLivesAlone() {
        HomeLedger restarted = new HomeLedger(HOME_RESTARTED, 2, WINDOW, LIMITS);
        assertEquals(
                restarted.begin(OPERATION, "x", DEADLINE, ISSUED), new BeginResult.WrongHome(HOME));
        assertEquals(restarted.query(OPERATION, ISSUED), Optional.empty());
    }

    /** An outcome asked for before the request comes keeps the request from running. */
    @Test
    public void queryRefusesAKeyNotSeen() {
        OperationAnswer answer = notRun(NotRunReason.ASKED_FIRST);
        assertEquals(mLedger.query(OPERATION, ISSUED), Optional.of(answer));
        assertEquals(begin("x"), answered(answer));
    }

    /**
     * A full home turns a request down, and the caller goes on to a new key. The first key arrives
     * again, late, when there is room. So "not run" needs its record, and without room for that the
     * answer is unknown.
     */
    @Test
    public void beginWithoutRoomPromisesNothing() {
        mLedger.begin(operation("b"), "x", DEADLINE, ISSUED);
        mLedger.begin(operation("c"), "x", DEADLINE, ISSUED);
        OperationAnswer full = notRun(NotRunReason.HOME_FULL);
        assertEquals(begin("x"), answered(full));
        assertEquals(mLedger.query(OPERATION, ISSUED), Optional.of(full));
        assertEquals(
                mLedger.begin(operation("d"), "x", DEADLINE, ISSUED),
                answered(unknown(UnknownReason.TABLE_FULL)));
    }

    private BeginResult begin(String digest) {
        return mLedger.begin(OPERATION, digest, DEADLINE, ISSUED);
    }

    private HomeAction accepted() {
        return mLedger.witnessReplied(OPERATION, IntentReply.ACCEPTED, ISSUED);
    }

    private static BeginResult answered(OperationAnswer answer) {
        return new BeginResult.Answered(answer);
    }

    private static HomeAction settled(OperationAnswer answer, OutcomeNotice notice) {
        return new HomeAction.Respond(answer, Optional.of(notice));
    }
}
