package org.dahliapass.decisions.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dahliapass.model.VmIdentity;

/**
 * The oracle of the fuzz test: the accepted changes, the reported outcomes and the applied changes.
 */
final class FuzzOracle {
    private final List<ChangeRecord> mLog = new ArrayList<>();
    private final Set<String> mReportedNotAccepted = new HashSet<>();
    private final Map<VmIdentity, Map<String, Long>> mHighestApplied = new HashMap<>();

    Optional<ChangeRecord> newestOf(String customer) {
        return mLog.stream()
                .filter(record -> record.customer().equals(customer))
                .reduce((earlier, later) -> later);
    }

    int size() {
        return mLog.size();
    }

    /** Checks the new value of the head in the store. */
    void onHead(Head head) {
        if (head.number() == mLog.size()) {
            return;
        }
        ChangeRecord record = head.ring().get(head.ring().size() - 1);
        check(head.number() == mLog.size() + 1, "The head skipped a number: " + record);
        check(
                newestOf(record.customer()).map(ChangeRecord::number).orElse(0L)
                        == record.baseNumber(),
                "A change was lost: " + record);
        check(ofOperation(record.operationId()).isEmpty(), "Accepted twice: " + record);
        check(
                !mReportedNotAccepted.contains(record.operationId()),
                "Accepted after being reported as not accepted: " + record);
        mLog.add(record);
    }

    void onOutcome(String operationId, AcceptOutcome outcome) {
        if (outcome instanceof AcceptOutcome.Accepted accepted) {
            check(
                    ofOperation(operationId).map(ChangeRecord::number).orElse(0L)
                            == accepted.number(),
                    "Reported as accepted, but not in the log: " + operationId);
        } else if (!(outcome instanceof AcceptOutcome.Unknown)) {
            check(
                    ofOperation(operationId).isEmpty(),
                    "Reported as not accepted, but in the log: " + operationId);
            mReportedNotAccepted.add(operationId);
        }
    }

    void onApply(VmIdentity vm, FollowerAction.Apply apply) {
        Map<String, Long> highest = mHighestApplied.computeIfAbsent(vm, ignored -> new HashMap<>());
        Long before = highest.put(apply.customer(), apply.number());
        check(
                before == null || before <= apply.number(),
                vm + " reverted to an older change: " + apply);
        check(
                apply.number() <= mLog.size(),
                vm + " applied a change that was not accepted: " + apply);
        ChangeRecord record = mLog.get((int) apply.number() - 1);
        check(
                record.customer().equals(apply.customer())
                        && record.digest().equals(new TemplateText(apply.text()).digest()),
                vm + " applied a text that differs from the accepted one: " + apply);
    }

    private Optional<ChangeRecord> ofOperation(String operationId) {
        return mLog.stream().filter(record -> record.operationId().equals(operationId)).findFirst();
    }

    static void check(boolean holds, String message) {
        if (!holds) {
            throw new AssertionError(message);
        }
    }
}
