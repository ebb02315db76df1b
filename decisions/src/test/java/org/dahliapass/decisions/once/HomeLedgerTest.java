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

/** Tests for {@link HomeLedger}. */
public final class HomeLedgerTest {

    private static final long DEADLINE = ISSUED + 5_000;
    private static final long EXPIRED = ISSUED + WINDOW.retentionMillis() + 1;
    private static final HomeAction IGNORE = new HomeAction.Ignore();

    private HomeLedger mLedger;

    @BeforeMethod
    public void createLedger() {
        mLedger = new HomeLedger(HOME, 2, WINDOW, LIMITS);
    }

    @Test
    public void repeatsAreNotDispatchedAgain() {
        assertEquals(begin("x"), new BeginResult.SendIntent(WITNESS));
        assertEquals(begin("x"), answered(new OperationAnswer.InProgress()));
        assertEquals(accepted(), new HomeAction.Dispatch(1));
        assertEquals(accepted(), IGNORE);
        assertEquals(begin("x"), answered(new OperationAnswer.InProgress()));
        OperationAnswer result = new OperationAnswer.Result(RESULT);
        assertEquals(
                mLedger.finished(OPERATION, 1, RESULT, ISSUED),
                respond(result, OutcomeNotice.ran(OPERATION, RESULT)));
        assertEquals(begin("x"), answered(result));
        assertEquals(begin("y"), answered(new OperationAnswer.Mismatch()));
    }

    /** A late acknowledgement must not dispatch a key that was answered with "not run". */
    @Test
    public void witnessTimeoutIsFinal() {
        begin("x");
        OperationAnswer answer = notRun(NotRunReason.WITNESS_SILENT);
        assertEquals(
                mLedger.witnessTimedOut(OPERATION, ISSUED),
                respond(answer, OutcomeNotice.abandoned(OPERATION)));
        assertEquals(accepted(), IGNORE);
        assertEquals(begin("x"), answered(answer));
        assertEquals(mLedger.query(OPERATION, ISSUED), Optional.of(answer));
    }

    @Test
    public void witnessRefusalIsFinal() {
        begin("x");
        assertEquals(
                mLedger.witnessReplied(OPERATION, IntentReply.FULL, ISSUED),
                respond(notRun(NotRunReason.WITNESS_FULL), OutcomeNotice.abandoned(OPERATION)));
        assertEquals(accepted(), IGNORE);
    }

    @Test
    public void witnessReplyAfterDeadlineIsNotDispatched() {
        begin("x");
        assertEquals(
                mLedger.witnessReplied(OPERATION, IntentReply.ACCEPTED, DEADLINE + 1),
                respond(notRun(NotRunReason.DEADLINE_PASSED), OutcomeNotice.abandoned(OPERATION)));
    }

    @Test
    public void witnessReplyAfterExpiryIsNotDispatched() {
        begin("x");
        OperationAnswer expired = unknown(UnknownReason.EXPIRED);
        assertEquals(
                mLedger.witnessReplied(OPERATION, IntentReply.ACCEPTED, EXPIRED),
                new HomeAction.Respond(expired, Optional.empty()));
        assertEquals(mLedger.begin(OPERATION, "x", EXPIRED, EXPIRED), answered(expired));
    }

    /** A duplicate refusal of the first attempt must not dispatch beside the second attempt. */
    @Test
    public void duplicateTargetRefusalIsIgnored() {
        begin("x");
        accepted();
        assertEquals(mLedger.targetRefused(OPERATION, 1, true, ISSUED), new HomeAction.Dispatch(2));
        assertEquals(mLedger.targetRefused(OPERATION, 1, true, ISSUED), IGNORE);
        assertEquals(
                mLedger.targetRefused(OPERATION, 2, true, ISSUED),
                respond(notRun(NotRunReason.TARGETS_REFUSED), OutcomeNotice.abandoned(OPERATION)));
    }

    @Test
    public void lostResponseIsUnknownUntilResultArrives() {
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

    @Test
    public void keyOfOtherIncarnationIsNotBegun() {
        HomeLedger restarted = new HomeLedger(HOME_RESTARTED, 2, WINDOW, LIMITS);
        assertEquals(
                restarted.begin(OPERATION, "x", DEADLINE, ISSUED), new BeginResult.WrongHome(HOME));
        assertEquals(restarted.query(OPERATION, ISSUED), Optional.empty());
    }

    @Test
    public void queryRefusesUnknownKey() {
        OperationAnswer answer = notRun(NotRunReason.ASKED_FIRST);
        assertEquals(mLedger.query(OPERATION, ISSUED), Optional.of(answer));
        assertEquals(begin("x"), answered(answer));
    }

    /** Without a recorded refusal, a repeat of the key could run after an answer "not run". */
    @Test
    public void fullLedgerAnswersUnknownWithoutRecordedRefusal() {
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

    private static HomeAction respond(OperationAnswer answer, OutcomeNotice notice) {
        return new HomeAction.Respond(answer, Optional.of(notice));
    }
}
