package org.dahliapass.lab.capacity;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Writes the measured lines and the projection as tables and as JSON. */
final class CapacityReport {
    private static final double MEGA = 1e6;
    private static final double PERCENT = 100;

    private final Slopes mSlopes;
    private final List<RoleRow> mRows = new ArrayList<>();
    private final Cost mSum;

    CapacityReport(Slopes slopes) {
        mSlopes = slopes;
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
        return root.toPrettyString() + "\n";
    }
}
