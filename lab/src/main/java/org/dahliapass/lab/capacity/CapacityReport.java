package org.dahliapass.lab.capacity;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Formats the measurements and the projection as Markdown tables and as JSON. */
final class CapacityReport {
    private static final double KILO = 1e3;
    private static final double MEGA = 1e6;
    private static final double PERCENT = 100;

    private static final double[] EVIDENCE_BYTES = {16_384, 4_096, 2_048, 1_024, 512};
    private static final double[] GUARDED_SHARES = {0.01, 0.05, 0.1, 0.2};

    private final Measurements mMeasurements;
    private final ScenarioResults mScenarios;
    private final List<RoleRow> mRows = new ArrayList<>();
    private final Cost mSum;

    CapacityReport(Measurements measurements, ScenarioResults scenarios) {
        mMeasurements = measurements;
        mScenarios = scenarios;
        Projection projection =
                new Projection(measurements, FleetSize.DESIGN, Assumptions.DEFAULTS);
        mRows.addAll(projection.vmRows());
        mSum = Projection.sum(mRows);
        mRows.add(new RoleRow("every VM", "all of the above", "", mSum, "", ""));
        mRows.add(projection.watcherRow());
    }

    /** Returns the lines of the Markdown report. */
    List<String> lines() {
        List<String> lines = new ArrayList<>();
        lines.add("## Cost of each role at the design size");
        lines.add("");
        addRoles(lines);
        lines.add("");
        lines.add("Cost of home and witness by the share of guarded requests:");
        lines.add("");
        addSensitivity(lines);
        lines.add("");
        lines.add("Report interval and cost by the setting evidence-budget:");
        lines.add("");
        addEvidence(lines);
        lines.add("");
        lines.add("## Load on the platform store");
        lines.add("");
        addStore(lines);
        lines.add("");
        lines.add("## Failure scenarios, simulated with the production membership code");
        lines.add("");
        addScenarios(lines);
        lines.add("");
        lines.add("Spread of one configuration change by rumor, from the watchers to all VMs:");
        lines.add("");
        addChanges(lines);
        lines.add("");
        lines.add("## Projected cost of failures and of the operators' command");
        lines.add("");
        addConsequences(lines);
        lines.add("");
        lines.add("## Measured quantities");
        lines.add("");
        addMeasurements(lines);
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
        lines.add("| Guarded | operations/s per VM | msg/s | B/s | MB | Verdict |");
        lines.add("|--:|--:|--:|--:|--:|---|");
        for (double share : GUARDED_SHARES) {
            Assumptions assumptions = Assumptions.DEFAULTS.withGuardedShare(share);
            Cost cost =
                    new Projection(mMeasurements, FleetSize.DESIGN, assumptions)
                            .guardedRow()
                            .cost();
            add(
                    lines,
                    "| %.0f%% | %.1f | %.1f | %,.0f | %.1f | %s |",
                    share * PERCENT,
                    share * FleetSize.DESIGN.requestsPerVm(),
                    cost.messages(),
                    cost.bytes(),
                    cost.memory() / MEGA,
                    ResourceBudget.PER_VM.verdict(cost));
        }
    }

    private void addEvidence(List<String> lines) {
        lines.add("| evidence-budget | s between reports | msg/s | B/s | Verdict |");
        lines.add("|--:|--:|--:|--:|---|");
        for (double bytes : EVIDENCE_BYTES) {
            Assumptions assumptions = Assumptions.DEFAULTS.withEvidenceBytesPerSecond(bytes);
            EvidenceReportPacing pacing =
                    new EvidenceReportPacing(mMeasurements, FleetSize.DESIGN, assumptions);
            add(
                    lines,
                    "| %,.0f B/s | %.1f | %.1f | %,.0f | %s |",
                    bytes,
                    pacing.periodSeconds(),
                    pacing.cost().messages(),
                    pacing.cost().bytes(),
                    ResourceBudget.PER_VM.verdict(pacing.cost()));
        }
    }

    private void addStore(List<String> lines) {
        lines.add("| Source | Waiting | Reads/s | Writes/s | KB/s | Verdict |");
        lines.add("|---|--:|--:|--:|--:|---|");
        for (StoreLoad.Row row : new StoreLoad(mMeasurements, FleetSize.DESIGN).rows()) {
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

    private void addScenarios(List<String> lines) {
        lines.add("| Scenario | VMs | Convergence (s) | B/s before | Peak B/s, mean | Max. |");
        lines.add("|---|--:|--:|--:|--:|--:|");
        mScenarios
                .storms()
                .forEach(
                        (scenario, results) ->
                                results.forEach(
                                        result ->
                                                add(
                                                        lines,
                                                        "| %s | %d | %d | %,.0f | %,.0f | %,.0f |",
                                                        scenario.label(),
                                                        result.vms(),
                                                        result.agreedSeconds(),
                                                        result.quietBytes(),
                                                        result.meanPeakBytes(),
                                                        result.mostBytes())));
    }

    private void addChanges(List<String> lines) {
        lines.add("| VMs | Hops | Rumors per VM | Reached |");
        lines.add("|--:|--:|--:|--:|");
        for (ScenarioResults.RumorSpread change : mScenarios.changes()) {
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
        lines.add("| Event | Effect | Verdict |");
        lines.add("|---|---|---|");
        for (EventProjection.Row row :
                new EventProjection(mMeasurements, FleetSize.DESIGN).rows()) {
            lines.add("| " + row.event() + " | " + row.cost() + " | " + row.verdict() + " |");
        }
    }

    private static void add(List<String> lines, String format, Object... values) {
        lines.add(String.format(Locale.ROOT, format, values));
    }

    private static String verdict(RoleRow row) {
        String verdict = ResourceBudget.PER_VM.verdict(row.cost());
        return row.remedy().isEmpty() ? verdict : verdict + "; " + row.remedy();
    }

    private void addMeasurements(List<String> lines) {
        lines.add(
                "| Quantity | Unit | Base | Each | Per | Sizes | Spread | Max. error of the fit |");
        lines.add("|---|---|--:|--:|---|---|--:|--:|");
        for (Measurement measurement : mMeasurements.all()) {
            Quantity quantity = measurement.quantity();
            lines.add(
                    String.format(
                            Locale.ROOT,
                            "| %s | %s | %,.1f | %,.3f | %s | %s | %.0f%% | %.0f%% |",
                            quantity.label(),
                            quantity.unit().symbol(),
                            measurement.line().base(),
                            measurement.line().slope(),
                            quantity.sizeUnit(),
                            sizes(measurement),
                            measurement.maxRelativeSpread() * PERCENT,
                            measurement.maxRelativeError() * PERCENT));
        }
    }

    private static String sizes(Measurement measurement) {
        return String.join(
                ", ",
                measurement.points().stream()
                        .map(point -> String.format(Locale.ROOT, "%.0f", point.size()))
                        .toList());
    }

    /** Returns all measurements and projections as JSON. */
    String json() {
        ObjectMapper mapper = new ObjectMapper();
        ObjectNode root = mapper.createObjectNode();
        ArrayNode measurements = root.putArray("slopes");
        mMeasurements
                .all()
                .forEach(measurement -> measurements.add(mapper.valueToTree(measurement)));
        ArrayNode rows = root.putArray("rows");
        for (RoleRow row : mRows) {
            ObjectNode node = mapper.valueToTree(row);
            node.put("verdict", ResourceBudget.PER_VM.verdict(row.cost()));
            rows.add(node);
        }
        root.set(
                "store", mapper.valueToTree(new StoreLoad(mMeasurements, FleetSize.DESIGN).rows()));
        root.set("runs", mapper.valueToTree(mScenarios));
        root.set(
                "consequences",
                mapper.valueToTree(new EventProjection(mMeasurements, FleetSize.DESIGN).rows()));
        return root.toPrettyString() + "\n";
    }
}
