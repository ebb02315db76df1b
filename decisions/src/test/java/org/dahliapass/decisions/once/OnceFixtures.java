package org.dahliapass.decisions.once;

import java.util.List;
import java.util.Optional;
import org.dahliapass.model.VmIdentity;

/** Shared identities, keys and records for the tests of this package. */
final class OnceFixtures {

    static final VmIdentity HOME = new VmIdentity("home-1", 7);
    static final VmIdentity HOME_RESTARTED = new VmIdentity("home-1", 8);
    static final VmIdentity WITNESS = new VmIdentity("witness-1", 3);
    static final VmIdentity WITNESS_RESTARTED = new VmIdentity("witness-1", 4);
    static final VmIdentity OTHER = new VmIdentity("other-1", 1);
    static final long ISSUED = 1_000_000;
    static final RetentionWindow WINDOW = new RetentionWindow(1_000, 60_000);
    static final TableLimits LIMITS = new TableLimits(3, 1, 10_000, 100);
    static final Operation OPERATION = operation("a");
    static final RecordedResult RESULT =
            new RecordedResult(
                    201,
                    List.of(new RecordedHeader("location", "/1")),
                    Optional.of(RecordedBody.copyOf(new byte[] {1, 2, 3})));

    private OnceFixtures() {}

    static Operation operation(String suffix) {
        return new Operation(
                "suva", new OperationKey(new OperationToken(HOME, WITNESS, ISSUED), suffix));
    }

    static OperationAnswer notRun(NotRunReason reason) {
        return new OperationAnswer.NotRun(reason);
    }

    static OperationAnswer unknown(UnknownReason reason) {
        return new OperationAnswer.Unknown(reason);
    }
}
