package org.dahliapass.lab.capacity;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Writes the measured lines and the projection as tables and as JSON. */
final class CapacityReport {
    private static final double KILO = 1e3;
    private static final double MEGA = 1e6;
    private static final double PERCENT = 100;

    private static final double[] EVIDENCE_BYTES = {16_384, 4_096, 2_048, 1_024, 512};
    private static final double[] GUARDED_SHARES = {0.01, 0.05, 0.1, 0.2};

    private final Slopes mSlopes;
    private final StormRuns mRuns;
    private final List<RoleRow> mRows = new ArrayList<>();
    private final Cost mSum;

    CapacityReport(Slopes slopes, StormRuns runs) {
        mSlopes = slopes;
        mRuns = runs;
        Projection projection = new Projection(slopes, FleetSize.LETTER, Assumptions.PAGE);
        mRows.addAll(projection.everyVm());
        mSum = Projection.sum(mRows);
        mRows.add(new RoleRow("every VM", "all of the above", "", mSum, "", ""));
        mRows.add(projection.watcher());
    }

    /** Returns the tables, line by line. */
    List<String> lines() {
        List<String> lines = new ArrayList<>();
        lines.add("## Each role at the letter's size");
        lines.add("");
        addRoles(lines);
        lines.add("");
        lines.add("Share of the requests that is guarded, and what home and witness then cost:");
        lines.add("");
        addSensitivity(lines);
        lines.add("");
        lines.add("The setting evidence-budget, and how late successes then are told:");
        lines.add("");
        addEvidence(lines);
        lines.add("");
        lines.add("## The platform's service");
        lines.add("");
        addStore(lines);
        lines.add("");
        lines.add("## Storms, run over the real memberships");
        lines.add("");
        addStorms(lines);
        lines.add("");
        lines.add("One change, spread by rumor from the watchers over the real followers:");
        lines.add("");
        addChanges(lines);
        lines.add("");
        lines.add("## Storms and the operators' command, worked out");
        lines.add("");
        addConsequences(lines);
        lines.add("");
        lines.add("## Measured slopes");
        lines.add("");
        addSlopes(lines);
        return lines;
    }

    private void addRoles(List<String> lines) {
        lines.add("| Role | Part | State | msg/s | B/s | % core | MB | Mechanism | Verdict |");
        lines.add("|---|---|---|--:|--:|--:|--:|---|---|");
        for (RoleRow row : mRows) {
            Cost cost = row.cost();
            lines.add(
                    String.format(
                            Locale.ROOT,
                            "| %s | %s | %s | %.1f | %,.0f | %.2f | %.2f | %s | %s |",
                            row.role(),
                            row.part(),
                            row.state(),
                            cost.messages(),
                            cost.bytes(),
                            cost.processor() * PERCENT,
                            cost.memory() / MEGA,
                            row.mechanism(),
                            verdict(row)));
        }
    }

    private void addSensitivity(List<String> lines) {
        lines.add("| Guarded | operations/s of a VM | msg/s | B/s | MB | Verdict |");
        lines.add("|--:|--:|--:|--:|--:|---|");
        for (double share : GUARDED_SHARES) {
            Assumptions assumed = Assumptions.PAGE.withGuardedShare(share);
            Cost cost = new Projection(mSlopes, FleetSize.LETTER, assumed).guarded().cost();
            add(
                    lines,
                    "| %.0f%% | %.1f | %.1f | %,.0f | %.1f | %s |",
                    share * PERCENT,
                    share * FleetSize.LETTER.requestsPerVm(),
                    cost.messages(),
                    cost.bytes(),
                    cost.memory() / MEGA,
                    Budget.LETTER.verdict(cost));
        }
    }

    private void addEvidence(List<String> lines) {
        lines.add("| evidence-budget | s between reports | msg/s | B/s | Verdict |");
        lines.add("|--:|--:|--:|--:|---|");
        for (double bytes : EVIDENCE_BYTES) {
            Assumptions assumed = Assumptions.PAGE.withEvidenceBytes(bytes);
            EvidencePace pace = new EvidencePace(mSlopes, FleetSize.LETTER, assumed);
            add(
                    lines,
                    "| %,.0f B/s | %.1f | %.1f | %,.0f | %s |",
                    bytes,
                    pace.seconds(),
                    pace.cost().messages(),
                    pace.cost().bytes(),
                    Budget.LETTER.verdict(pace.cost()));
        }
    }

    private void addStore(List<String> lines) {
        lines.add("| Source | Waiting | Reads/s | Writes/s | KB/s | Verdict |");
        lines.add("|---|--:|--:|--:|--:|---|");
        for (StoreLoad.Row row : new StoreLoad(mSlopes, FleetSize.LETTER).rows()) {
            add(
                    lines,
                    "| %s | %,.0f | %,.1f | %.1f | %,.0f | %s |",
                    row.source(),
                    row.waiting(),
                    row.reads(),
                    row.writes(),
                    row.bytes() / KILO,
                    row.verdict());
        }
    }

    private void addStorms(List<String> lines) {
        lines.add(
                "| Storm | VMs | s until all agree | B/s quiet | B/s peak, mean | peak, one VM |");
        lines.add("|---|--:|--:|--:|--:|--:|");
        mRuns.storms()
                .forEach(
                        (storm, results) ->
                                results.forEach(
                                        result ->
                                                add(
                                                        lines,
                                                        "| %s | %d | %d | %,.0f | %,.0f | %,.0f |",
                                                        storm.label(),
                                                        result.vms(),
                                                        result.agreedSeconds(),
                                                        result.quietBytes(),
                                                        result.meanPeakBytes(),
                                                        result.mostBytes())));
    }

    private void addChanges(List<String> lines) {
        lines.add("| VMs | Hops | Rumors a VM | Reached |");
        lines.add("|--:|--:|--:|--:|");
        for (StormRuns.Spreading change : mRuns.changes()) {
            add(
                    lines,
                    "| %,d | %d | %.1f | %.1f%% |",
                    change.vms(),
                    change.result().hops(),
                    (double) change.result().messages() / change.vms(),
                    change.result().reached() * PERCENT);
        }
    }

    private void addConsequences(List<String> lines) {
        lines.add("| Event | What follows | Verdict |");
        lines.add("|---|---|---|");
        for (Consequences.Row row : new Consequences(mSlopes, FleetSize.LETTER).rows()) {
            lines.add("| " + row.event() + " | " + row.cost() + " | " + row.verdict() + " |");
        }
    }

    private static void add(List<String> lines, String format, Object... values) {
        lines.add(String.format(Locale.ROOT, format, values));
    }

    private static String verdict(RoleRow row) {
        String verdict = Budget.LETTER.verdict(row.cost());
        return row.remedy().isEmpty() ? verdict : verdict + "; " + row.remedy();
    }

    private void addSlopes(List<String> lines) {
        lines.add("| Quantity | Unit | Base | Each | Per | Sizes | Spread | Line misses by |");
        lines.add("|---|---|--:|--:|---|---|--:|--:|");
        for (Slope slope : mSlopes.all()) {
            Quantity quantity = slope.quantity();
            lines.add(
                    String.format(
                            Locale.ROOT,
                            "| %s | %s | %,.1f | %,.3f | %s | %s | %.0f%% | %.0f%% |",
                            quantity.label(),
                            quantity.unit().symbol(),
                            slope.line().base(),
                            slope.line().slope(),
                            quantity.per(),
                            sizes(slope),
                            slope.width() * PERCENT,
                            slope.miss() * PERCENT));
        }
    }

    private static String sizes(Slope slope) {
        return String.join(
                ", ",
                slope.points().stream()
                        .map(point -> String.format(Locale.ROOT, "%.0f", point.size()))
                        .toList());
    }

    /** Returns all figures as JSON. */
    String json() {
        ObjectMapper mapper = new ObjectMapper();
        ObjectNode root = mapper.createObjectNode();
        ArrayNode slopes = root.putArray("slopes");
        mSlopes.all().forEach(slope -> slopes.add(mapper.valueToTree(slope)));
        ArrayNode rows = root.putArray("rows");
        for (RoleRow row : mRows) {
            ObjectNode node = mapper.valueToTree(row);
            node.put("verdict", Budget.LETTER.verdict(row.cost()));
            rows.add(node);
        }
        root.set("store", mapper.valueToTree(new StoreLoad(mSlopes, FleetSize.LETTER).rows()));
        root.set("runs", mapper.valueToTree(mRuns));
        root.set(
                "consequences",
                mapper.valueToTree(new Consequences(mSlopes, FleetSize.LETTER).rows()));
        return root.toPrettyString() + "\n";
    }
}
