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

/** Tests of {@link WitnessRegister}. */
public final class WitnessRegisterTest {

    private static final long EXPIRED = ISSUED + WINDOW.retentionMillis() + 1;

    /** An intent whose acknowledgement was lost is acknowledged again; then the result stands. */
    @Test
    public void recordIntentIsIdempotentUntilTheOutcome() {
        WitnessRegister register = register();
        assertEquals(intent(register), IntentReply.ACCEPTED);
        assertEquals(intent(register), IntentReply.ACCEPTED);
        assertEquals(register.resolve(OPERATION, ISSUED), unknown(UnknownReason.MAY_HAVE_RUN));
        register.recordOutcome(HOME, OutcomeNotice.ran(OPERATION, RESULT), ISSUED);
        register.recordOutcome(HOME, OutcomeNotice.abandoned(OPERATION), ISSUED);
        assertEquals(register.resolve(OPERATION, ISSUED), new OperationAnswer.Result(RESULT));
        assertEquals(intent(register), IntentReply.REFUSED);
    }

    /**
     * A caller is told "not run" and goes on to a new key. Then the first key's intent arrives late
     * at the witness. It must fail, or both keys run.
     */
    @Test
    public void resolveRefusesAnAbsentKeyForGood() {
        WitnessRegister register = register();
        assertEquals(register.resolve(OPERATION, ISSUED), notRun(NotRunReason.REFUSED_BY_WITNESS));
        assertEquals(intent(register), IntentReply.REFUSED);
        assertEquals(register.resolve(OPERATION, ISSUED), notRun(NotRunReason.REFUSED_BY_WITNESS));
    }

    /** An abandonment that overtakes its intent refuses it. */
    @Test
    public void recordOutcomeAbandonsBeforeTheIntentComes() {
        WitnessRegister register = register();
        register.recordOutcome(HOME, OutcomeNotice.abandoned(OPERATION), ISSUED);
        assertEquals(intent(register), IntentReply.REFUSED);
    }

    /** Only the home that the key names may write its entry. */
    @Test
    public void recordIntentRefusesAnotherSender() {
        WitnessRegister register = register();
        assertEquals(
                register.recordIntent(HOME_RESTARTED, OPERATION, ISSUED),
                IntentReply.WRONG_INCARNATION);
        assertEquals(intent(register), IntentReply.ACCEPTED);
        register.recordOutcome(HOME_RESTARTED, OutcomeNotice.abandoned(OPERATION), ISSUED);
        assertEquals(register.resolve(OPERATION, ISSUED), unknown(UnknownReason.MAY_HAVE_RUN));
    }

    /**
     * The witness is replaced after it has acknowledged; the home ran the key and died. The new
     * life's empty register is no proof of "not run".
     */
    @Test
    public void restartedWitnessKnowsNothingOfItsFormerLife() {
        WitnessRegister restarted = new WitnessRegister(WITNESS_RESTARTED, WINDOW, LIMITS);
        assertEquals(
                restarted.resolve(OPERATION, ISSUED), unknown(UnknownReason.WITNESS_RESTARTED));
        assertEquals(intent(restarted), IntentReply.WRONG_INCARNATION);
    }

    /** Outside the window nothing is taken and nothing is known. */
    @Test
    public void expiredKeyIsNeitherTakenNorRefused() {
        WitnessRegister register = register();
        assertEquals(intent(register), IntentReply.ACCEPTED);
        assertEquals(register.resolve(OPERATION, EXPIRED), unknown(UnknownReason.EXPIRED));
        assertEquals(register.recordIntent(HOME, OPERATION, EXPIRED), IntentReply.EXPIRED);
        assertEquals(register.size(), 0);
    }

    /** A full register takes no intent, and says "not run" only while it can write that down. */
    @Test
    public void fullRegisterAnswersUnknownWithoutRoomToRefuse() {
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
