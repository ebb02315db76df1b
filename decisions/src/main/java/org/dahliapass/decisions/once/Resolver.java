package org.dahliapass.decisions.once;

import org.dahliapass.model.VmIdentity;

/**
 * Resolves the outcome of a key whose home is another VM: asks the home, then the witness, else the
 * outcome is unknown.
 *
 * <p>Never answers "not run" itself, because another VM may have received the same key at the same
 * time. Only the home and witness incarnations that the key names answer so, after recording it.
 */
public class Resolver {

    private final VmIdentity mSelf;
    private final WitnessRegister mOwnRegister;

    /**
     * Creates a resolver.
     *
     * @param self this VM incarnation
     * @param ownRegister this VM's register, for keys that name it as their witness
     */
    public Resolver(VmIdentity self, WitnessRegister ownRegister) {
        mSelf = self;
        mOwnRegister = ownRegister;
    }

    /** Returns the first step for a key whose home isn't this VM incarnation. */
    public ResolverStep start(Operation operation, long nowMillis) {
        VmIdentity home = operation.key().home();
        // This incarnation has no record of what an earlier one of this VM dispatched.
        if (home.name().equals(mSelf.name())) {
            return homeUnavailable(operation, nowMillis);
        }
        return new ResolverStep.ForwardToHome(home);
    }

    /** Returns the next step after an answer of the VM at the home's address. */
    public ResolverStep homeAnswered(
            Operation operation, VmIdentity from, OperationAnswer answer, long nowMillis) {
        // A restarted home has no record of the keys of its earlier incarnation.
        if (!from.equals(operation.key().home())) {
            return homeUnavailable(operation, nowMillis);
        }
        return new ResolverStep.Answer(answer);
    }

    /** Returns the next step if the home is unreachable, was restarted or does not answer. */
    public ResolverStep homeUnavailable(Operation operation, long nowMillis) {
        VmIdentity witness = operation.key().witness();
        if (witness.name().equals(mSelf.name())) {
            return new ResolverStep.Answer(mOwnRegister.resolve(operation, nowMillis));
        }
        return new ResolverStep.QueryWitness(witness);
    }

    /** Returns the next step after an answer of the VM at the witness's address. */
    public ResolverStep witnessAnswered(
            Operation operation, VmIdentity from, OperationAnswer answer) {
        if (!from.equals(operation.key().witness())) {
            return unknown(UnknownReason.WITNESS_RESTARTED);
        }
        return new ResolverStep.Answer(answer);
    }

    /** Returns the final step if the witness is unreachable or does not answer. */
    public ResolverStep witnessUnavailable() {
        return unknown(UnknownReason.NO_WORD);
    }

    private static ResolverStep unknown(UnknownReason reason) {
        return new ResolverStep.Answer(new OperationAnswer.Unknown(reason));
    }
}
