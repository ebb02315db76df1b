package org.dahliapass.decisions.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dahliapass.model.VmIdentity;

/** The oracle: the list of accepted changes, and what was reported and applied. */
final class FuzzOracle {
    private final List<ChangeRecord> mOrder = new ArrayList<>();
    private final Set<String> mReportedNo = new HashSet<>();
    private final Map<VmIdentity, Map<String, Long>> mHighest = new HashMap<>();

    Optional<ChangeRecord> newestOf(String customer) {
        return mOrder.stream()
                .filter(record -> record.customer().equals(customer))
                .reduce((earlier, later) -> later);
    }

    int size() {
        return mOrder.size();
    }

    /** Takes a head that the store now holds. */
    void onHead(Head head) {
        if (head.number() == mOrder.size()) {
            return;
        }
        ChangeRecord record = head.ring().get(head.ring().size() - 1);
        check(head.number() == mOrder.size() + 1, "The head skipped a number: " + record);
        check(
                newestOf(record.customer()).map(ChangeRecord::number).orElse(0L)
                        == record.baseNumber(),
                "A change was lost: " + record);
        check(ofOperation(record.operationId()).isEmpty(), "Accepted twice: " + record);
        check(!mReportedNo.contains(record.operationId()), "In force after a no: " + record);
        mOrder.add(record);
    }

    void onOutcome(String operationId, AcceptOutcome outcome) {
        if (outcome instanceof AcceptOutcome.Accepted accepted) {
            check(
                    ofOperation(operationId).map(ChangeRecord::number).orElse(0L)
                            == accepted.number(),
                    "Reported yes, but not in the order: " + operationId);
        } else if (!(outcome instanceof AcceptOutcome.Unknown)) {
            check(ofOperation(operationId).isEmpty(), "Reported no, but it is: " + operationId);
            mReportedNo.add(operationId);
        }
    }

    void onApply(VmIdentity vm, FollowerAction.Apply apply) {
        Map<String, Long> highest = mHighest.computeIfAbsent(vm, ignored -> new HashMap<>());
        Long before = highest.put(apply.customer(), apply.number());
        check(before == null || before <= apply.number(), vm + " went back: " + apply);
        check(apply.number() <= mOrder.size(), vm + " applied what was never accepted: " + apply);
        ChangeRecord record = mOrder.get((int) apply.number() - 1);
        check(
                record.customer().equals(apply.customer())
                        && record.digest().equals(new TemplateText(apply.text()).digest()),
                vm + " applied another text: " + apply);
    }

    private Optional<ChangeRecord> ofOperation(String operationId) {
        return mOrder.stream()
                .filter(record -> record.operationId().equals(operationId))
                .findFirst();
    }

    static void check(boolean holds, String message) {
        if (!holds) {
            throw new AssertionError(message);
        }
    }
}
