package org.dahliapass.decisions.once;

import static org.dahliapass.decisions.once.OnceFixtures.HOME;
import static org.dahliapass.decisions.once.OnceFixtures.HOME_RESTARTED;
import static org.dahliapass.decisions.once.OnceFixtures.ISSUED;
import static org.dahliapass.decisions.once.OnceFixtures.LIMITS;
import static org.dahliapass.decisions.once.OnceFixtures.OPERATION;
import static org.dahliapass.decisions.once.OnceFixtures.RESULT;
import static org.dahliapass.decisions.once.OnceFixtures.WINDOW;
import static org.dahliapass.decisions.once.OnceFixtures.WITNESS;
import static org.dahliapass.decisions.once.OnceFixtures.WITNESS_RESTARTED;
import static org.dahliapass.decisions.once.OnceFixtures.notRun;
import static org.dahliapass.decisions.once.OnceFixtures.operation;
import static org.dahliapass.decisions.once.OnceFixtures.unknown;
import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Tests for {@link WitnessRegister}. */
public final class WitnessRegisterTest {

    private static final long EXPIRED = ISSUED + WINDOW.retentionMillis() + 1;

    @Test
    public void recordIntentIsIdempotentUntilOutcome() {
        WitnessRegister register = register();
        assertEquals(intent(register), IntentReply.ACCEPTED);
        assertEquals(intent(register), IntentReply.ACCEPTED);
        assertEquals(register.resolve(OPERATION, ISSUED), unknown(UnknownReason.MAY_HAVE_RUN));
        register.recordOutcome(HOME, OutcomeNotice.ran(OPERATION, RESULT), ISSUED);
        register.recordOutcome(HOME, OutcomeNotice.abandoned(OPERATION), ISSUED);
        assertEquals(register.resolve(OPERATION, ISSUED), new OperationAnswer.Result(RESULT));
        assertEquals(intent(register), IntentReply.REFUSED);
    }

    /** A late intent must not be accepted for a key that was answered with "not run". */
    @Test
    public void resolveRefusesUnknownKeyForGood() {
        WitnessRegister register = register();
        assertEquals(register.resolve(OPERATION, ISSUED), notRun(NotRunReason.REFUSED_BY_WITNESS));
        assertEquals(intent(register), IntentReply.REFUSED);
        assertEquals(register.resolve(OPERATION, ISSUED), notRun(NotRunReason.REFUSED_BY_WITNESS));
    }

    @Test
    public void abandonmentBeforeIntentRefusesIntent() {
        WitnessRegister register = register();
        register.recordOutcome(HOME, OutcomeNotice.abandoned(OPERATION), ISSUED);
        assertEquals(intent(register), IntentReply.REFUSED);
    }

    @Test
    public void onlyTheHomeIncarnationMayRecord() {
        WitnessRegister register = register();
        assertEquals(
                register.recordIntent(HOME_RESTARTED, OPERATION, ISSUED),
                IntentReply.WRONG_INCARNATION);
        assertEquals(intent(register), IntentReply.ACCEPTED);
        register.recordOutcome(HOME_RESTARTED, OutcomeNotice.abandoned(OPERATION), ISSUED);
        assertEquals(register.resolve(OPERATION, ISSUED), unknown(UnknownReason.MAY_HAVE_RUN));
    }

    /** The empty register of a restarted witness does not prove "not run". */
    @Test
    public void restartedWitnessAnswersUnknown() {
        WitnessRegister restarted = new WitnessRegister(WITNESS_RESTARTED, WINDOW, LIMITS);
        assertEquals(
                restarted.resolve(OPERATION, ISSUED), unknown(UnknownReason.WITNESS_RESTARTED));
        assertEquals(intent(restarted), IntentReply.WRONG_INCARNATION);
    }

    @Test
    public void expiredKeyIsUnknown() {
        WitnessRegister register = register();
        assertEquals(intent(register), IntentReply.ACCEPTED);
        assertEquals(register.resolve(OPERATION, EXPIRED), unknown(UnknownReason.EXPIRED));
        assertEquals(register.recordIntent(HOME, OPERATION, EXPIRED), IntentReply.EXPIRED);
        assertEquals(register.size(), 0);
    }

    @Test
    public void fullRegisterAnswersUnknownWithoutRecordedRefusal() {
        WitnessRegister full = register();
        full.recordIntent(HOME, operation("a"), ISSUED);
        full.recordIntent(HOME, operation("b"), ISSUED);
        assertEquals(full.recordIntent(HOME, operation("c"), ISSUED), IntentReply.FULL);
        assertEquals(full.resolve(operation("c"), ISSUED), notRun(NotRunReason.REFUSED_BY_WITNESS));
        assertEquals(full.resolve(operation("d"), ISSUED), unknown(UnknownReason.TABLE_FULL));
        assertEquals(full.resolve(operation("a"), ISSUED), unknown(UnknownReason.MAY_HAVE_RUN));
    }

    private static WitnessRegister register() {
        return new WitnessRegister(WITNESS, WINDOW, LIMITS);
    }

    private static IntentReply intent(WitnessRegister register) {
        return register.recordIntent(HOME, OPERATION, ISSUED);
    }
}
