package org.dahliapass.decisions.once;

import static org.dahliapass.decisions.once.OnceFixtures.HOME;
import static org.dahliapass.decisions.once.OnceFixtures.HOME_RESTARTED;
import static org.dahliapass.decisions.once.OnceFixtures.ISSUED;
import static org.dahliapass.decisions.once.OnceFixtures.LIMITS;
import static org.dahliapass.decisions.once.OnceFixtures.OPERATION;
import static org.dahliapass.decisions.once.OnceFixtures.OTHER;
import static org.dahliapass.decisions.once.OnceFixtures.WINDOW;
import static org.dahliapass.decisions.once.OnceFixtures.WITNESS;
import static org.dahliapass.decisions.once.OnceFixtures.WITNESS_RESTARTED;
import static org.dahliapass.decisions.once.OnceFixtures.notRun;
import static org.dahliapass.decisions.once.OnceFixtures.unknown;
import static org.testng.Assert.assertEquals;

import org.dahliapass.model.VmIdentity;
import org.testng.annotations.Test;

/** Tests for {@link Resolver}. */
public final class ResolverTest {

    private static final ResolverStep QUERY_WITNESS = new ResolverStep.QueryWitness(WITNESS);
    private static final OperationAnswer NOT_RUN = notRun(NotRunReason.WITNESS_SILENT);

    @Test
    public void answerOfHomeIsReturned() {
        Resolver resolver = resolverOf(OTHER);
        assertEquals(resolver.start(OPERATION, ISSUED), new ResolverStep.ForwardToHome(HOME));
        assertEquals(resolver.homeAnswered(OPERATION, HOME, NOT_RUN, ISSUED), answer(NOT_RUN));
    }

    @Test
    public void unavailableOrRestartedHomeLeadsToWitness() {
        Resolver resolver = resolverOf(OTHER);
        assertEquals(
                resolver.homeAnswered(OPERATION, HOME_RESTARTED, NOT_RUN, ISSUED), QUERY_WITNESS);
        assertEquals(resolver.homeUnavailable(OPERATION, ISSUED), QUERY_WITNESS);
        assertEquals(resolverOf(HOME_RESTARTED).start(OPERATION, ISSUED), QUERY_WITNESS);
    }

    @Test
    public void onlyNamedWitnessIncarnationIsTrusted() {
        Resolver resolver = resolverOf(OTHER);
        assertEquals(resolver.witnessAnswered(OPERATION, WITNESS, NOT_RUN), answer(NOT_RUN));
        assertEquals(
                resolver.witnessAnswered(OPERATION, WITNESS_RESTARTED, NOT_RUN),
                answer(unknown(UnknownReason.WITNESS_RESTARTED)));
        assertEquals(resolver.witnessUnavailable(), answer(unknown(UnknownReason.NO_WORD)));
    }

    @Test
    public void witnessQueriesItsOwnRegister() {
        assertEquals(
                resolverOf(WITNESS).homeUnavailable(OPERATION, ISSUED),
                answer(notRun(NotRunReason.REFUSED_BY_WITNESS)));
        assertEquals(
                resolverOf(WITNESS_RESTARTED).homeUnavailable(OPERATION, ISSUED),
                answer(unknown(UnknownReason.WITNESS_RESTARTED)));
    }

    private static Resolver resolverOf(VmIdentity self) {
        return new Resolver(self, new WitnessRegister(self, WINDOW, LIMITS));
    }

    private static ResolverStep answer(OperationAnswer answer) {
        return new ResolverStep.Answer(answer);
    }
}
