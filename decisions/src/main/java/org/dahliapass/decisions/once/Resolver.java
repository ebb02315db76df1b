package org.dahliapass.decisions.once;

import org.dahliapass.model.VmIdentity;

/**
 * Finds the answer for a key whose home is another VM: the home's word, else the witness's, else
 * unknown.
 *
 * <p>It never says "not run" of its own, not even when it sent nothing: another VM may have got the
 * same key at the same time. Only the home and the witness incarnations that the key names may say
 * so, since each has it on record before it says it.
 */
public class Resolver {

    private final VmIdentity mSelf;
    private final WitnessRegister mOwnRegister;

    /**
     * Makes a resolver.
     *
     * @param self this life of this VM
     * @param ownRegister this VM's register, for keys that name it as their witness
     */
    public Resolver(VmIdentity self, WitnessRegister ownRegister) {
        mSelf = self;
        mOwnRegister = ownRegister;
    }

    /** Begins with a key whose home isn't this life of this VM. */
    public ResolverStep start(Operation operation, long nowMillis) {
        VmIdentity home = operation.key().home();
        // The former life of this VM is gone, and this life knows nothing of what it dispatched.
        if (home.name().equals(mSelf.name())) {
            return homeUnavailable(operation, nowMillis);
        }
        return new ResolverStep.ForwardToHome(home);
    }

    /** Takes in the answer of the VM at the home's address. */
    public ResolverStep homeAnswered(
            Operation operation, VmIdentity from, OperationAnswer answer, long nowMillis) {
        // A restarted home has an empty ledger; what it says on its former life's keys is no word.
        if (!from.equals(operation.key().home())) {
            return homeUnavailable(operation, nowMillis);
        }
        return new ResolverStep.Answer(answer);
    }

    /** Goes on to the witness when the home can't be reached, has changed, or does not answer. */
    public ResolverStep homeUnavailable(Operation operation, long nowMillis) {
        VmIdentity witness = operation.key().witness();
        if (witness.name().equals(mSelf.name())) {
            return new ResolverStep.Answer(mOwnRegister.resolve(operation, nowMillis));
        }
        return new ResolverStep.QueryWitness(witness);
    }

    /** Takes in the answer of the VM at the witness's address. */
    public ResolverStep witnessAnswered(
            Operation operation, VmIdentity from, OperationAnswer answer) {
        if (!from.equals(operation.key().witness())) {
            return unknown(UnknownReason.WITNESS_RESTARTED);
        }
        return new ResolverStep.Answer(answer);
    }

    /** Ends when the witness can't be reached or does not answer. */
    public ResolverStep witnessUnavailable() {
        return unknown(UnknownReason.NO_WORD);
    }

    private static ResolverStep unknown(UnknownReason reason) {
        return new ResolverStep.Answer(new OperationAnswer.Unknown(reason));
    }
}
