package org.dahliapass.report;

import java.util.Arrays;
import java.util.List;
import org.dahliapass.model.burn.Outcome;

/** Formats the report as a self-contained HTML page without scripts or external resources. */
final class HtmlReport {
    private static final int MAX_PLOTS = 40;
    private static final String STYLE =
            """
            body { font: 15px/1.45 system-ui, sans-serif; color: #202124; background: #fff;
                   max-width: 1240px; margin: 24px auto; padding: 0 20px; }
            h1 { font-size: 24px; margin: 0 0 4px; } h2 { font-size: 18px; margin: 32px 0 8px; }
            .note { color: #5f6368; margin: 4px 0 12px; }
            .tiles { display: flex; gap: 12px; margin: 16px 0; flex-wrap: wrap; }
            .tile { border: 1px solid #dadce0; border-left: 6px solid; border-radius: 4px;
                    padding: 8px 16px; min-width: 120px; }
            .tile b { font-size: 24px; display: block; }
            .unknown { border-left: 6px solid #9aa0a6; background: #f1f3f4; padding: 10px 16px; }
            .unknown ul { margin: 4px 0; padding-left: 20px; }
            .wide { overflow-x: auto; }
            table { border-collapse: collapse; width: 100%; font-size: 14px;
                    font-variant-numeric: tabular-nums; }
            th, td { text-align: right; padding: 5px 7px; border-bottom: 1px solid #e8eaed;
                     white-space: nowrap; }
            th { color: #5f6368; font-weight: 600; } .group { text-align: center; }
            .left { text-align: left; }
            .fast { background: #f9dedc; } .slow { background: #ffe4c4; }
            .over { background: #fdf3c8; } .verdict { font-weight: 600; }
            .plots { margin-top: 14px; display: grid; gap: 20px;
                     grid-template-columns: repeat(auto-fill, minmax(500px, 1fr)); }
            figure { margin: 0; border: 1px solid #dadce0; border-radius: 4px; padding: 10px; }
            figcaption { font-weight: 600; } figcaption span { font-weight: 400; color: #5f6368; }
            svg { width: 100%; height: auto; display: block; margin-top: 6px; }
            svg text { font: 11px system-ui, sans-serif; fill: #5f6368; }
            .grid { stroke: #dadce0; } .limit { stroke: #b3261e; stroke-dasharray: 5 4; }
            .legend { margin: 4px 0; }
            .legend span { display: inline-block; margin-right: 16px; }
            .legend i { display: inline-block; width: 12px; height: 12px; margin-right: 5px;
                        vertical-align: -1px; }
            """;

    private final BurnReport mReport;
    private final MarkupBuilder mPage = new MarkupBuilder();

    private HtmlReport(BurnReport report) {
        mReport = report;
    }

    static String of(BurnReport report) {
        return new HtmlReport(report).write();
    }

    private String write() {
        mPage.append("<!doctype html>")
                .append("<html lang='en'><head><meta charset='utf-8'>")
                .append("<title>dahliapass error budget burn report</title><style>")
                .append(STYLE)
                .append("</style></head><body>");
        writeHead();
        writeDataGaps();
        writeTable();
        writePlots();
        return mPage.append("</body></html>").toString();
    }

    private void writeHead() {
        int vms = mReport.answered().size() + mReport.silent().size();
        mPage.appendElement("h1", "", "Error budget burn");
        mPage.appendElement(
                "p",
                "class='note'",
                ReportFormat.time(mReport.generatedMillis())
                        + ", "
                        + mReport.answered().size()
                        + " of "
                        + vms
                        + " VMs responded. A burn rate of 1 uses up exactly the error"
                        + " budget.");
        mPage.append("<div class='tiles'>");
        for (Verdict verdict : Verdict.values()) {
            mPage.append(
                    "<div class='tile' style='border-left-color:" + tileColour(verdict) + "'>");
            mPage.appendElement("b", "", Long.toString(mReport.count(verdict)));
            mPage.appendElement("span", "", tileLabel(verdict)).append("</div>");
        }
        mPage.append("</div>");
    }

    /** Marks a good verdict as provisional if data is missing, as uncounted requests may be bad. */
    private String tileLabel(Verdict verdict) {
        boolean conclusive = verdict != Verdict.WITHIN_BUDGET || mReport.isComplete();
        return conclusive ? verdict.label() : verdict.label() + ", based on partial data";
    }

    private void writeDataGaps() {
        List<String> gaps = DataGaps.of(mReport);
        mPage.append("<div class='unknown'>");
        if (gaps.isEmpty()) {
            mPage.appendElement("b", "", "All VMs responded and cover the full 6 hours.");
        } else {
            mPage.appendElement("b", "", "Missing data").append("<ul>");
            gaps.forEach(sentence -> mPage.appendElement("li", "", sentence));
            mPage.append("</ul>");
        }
        mPage.append("</div>");
    }

    private void writeTable() {
        mPage.appendElement("h2", "", "Request kinds, worst first");
        if (mReport.series().isEmpty()) {
            mPage.appendElement("p", "", "No requests were counted in the last 6 hours.");
            return;
        }
        writeTableHead();
        mReport.series().forEach(this::writeRow);
        mPage.append("</tbody></table></div>");
        mPage.appendElement(
                "p",
                "class='note'",
                "Fast burn: 5m and 1h both over 14.4. Slow burn: 30m and 6h both over 6. Over"
                        + " budget: 6h over 1, below the alert thresholds.");
    }

    private void writeTableHead() {
        mPage.append("<div class='wide'><table><thead><tr><th colspan='5'></th>");
        mPage.append(
                "<th class='group' colspan='" + BurnWindow.values().length + "'>burn rate</th>");
        mPage.append(
                "<th class='group' colspan='"
                        + (OutcomeStyle.NOT_GOOD.size() + 2)
                        + "'>requests in 6h");
        mPage.append("</th></tr><tr>");
        for (String heading : List.of("Verdict", "Customer", "Service", "Kind")) {
            mPage.appendElement("th", "class='left'", heading);
        }
        mPage.appendElement("th", "", "Objective");
        Arrays.stream(BurnWindow.values())
                .forEach(window -> mPage.appendElement("th", "", window.label()));
        mPage.appendElement("th", "", "total").appendElement("th", "", "bad");
        OutcomeStyle.NOT_GOOD.forEach(
                outcome -> mPage.appendElement("th", "", OutcomeStyle.label(outcome)));
        mPage.append("</tr></thead><tbody>");
    }

    private void writeRow(SeriesBurn burn) {
        OutcomeTally tally = burn.windows().of(BurnWindow.SIX_HOURS).tally();
        mPage.append("<tr>");
        mPage.appendElement(
                "td",
                "class='left verdict " + cssClass(burn.verdict()) + "'",
                burn.verdict().label());
        mPage.appendElement("td", "class='left'", burn.customer());
        mPage.appendElement("td", "class='left'", burn.service());
        mPage.appendElement("td", "class='left'", burn.kind());
        mPage.appendElement("td", "", ReportFormat.percentage(burn.objective()));
        burn.windows().windows().forEach(this::writeRate);
        mPage.appendElement("td", "", ReportFormat.groupedCount(tally.total()));
        mPage.appendElement("td", "", ReportFormat.groupedCount(tally.bad()));
        OutcomeStyle.NOT_GOOD.forEach(
                outcome -> mPage.appendElement("td", "", countOrDot(tally.count(outcome))));
        mPage.append("</tr>");
    }

    private void writeRate(WindowBurn burn) {
        double rate = burn.burnRate().orElse(0);
        String cssClass = rate > Verdict.FAST_BURN_THRESHOLD ? "fast" : rate > 1 ? "over" : "";
        if (rate > Verdict.SLOW_BURN_THRESHOLD && rate <= Verdict.FAST_BURN_THRESHOLD) {
            cssClass = "slow";
        }
        mPage.appendElement("td", "class='" + cssClass + "'", ReportFormat.rate(burn.burnRate()));
    }

    private void writePlots() {
        if (mReport.series().isEmpty()) {
            return;
        }
        mPage.appendElement("h2", "", "The last six hours");
        if (mReport.series().size() > MAX_PLOTS) {
            String omitted = Integer.toString(mReport.series().size() - MAX_PLOTS);
            mPage.appendElement(
                    "p", "class='note'", "Worst 40 only; " + omitted + " more in the table.");
        }
        writeLegends();
        mPage.append("<div class='plots'>");
        mReport.series().stream().limit(MAX_PLOTS).forEach(this::writePlot);
        mPage.append("</div>");
    }

    private void writeLegends() {
        mPage.append("<p class='legend'>Burn rate: ");
        writeLegendEntry(TimelinePlot.rateColour(0), "up to 1");
        writeLegendEntry(TimelinePlot.rateColour(Verdict.SLOW_BURN_THRESHOLD), "over 1");
        writeLegendEntry(TimelinePlot.rateColour(Verdict.FAST_BURN_THRESHOLD), "over 6");
        writeLegendEntry(TimelinePlot.rateColour(Double.MAX_VALUE), "over 14.4");
        mPage.append("</p><p class='legend'>Requests: ");
        for (Outcome outcome : OutcomeStyle.NOT_GOOD) {
            writeLegendEntry(OutcomeStyle.colour(outcome), OutcomeStyle.label(outcome));
        }
        mPage.append("</p><p class='legend'>Background: ");
        writeLegendEntry(
                "#d3d5d8",
                "missing data, as VMs didn't respond or are newer; darker means less data");
        mPage.append("</p>");
    }

    private void writeLegendEntry(String colour, String label) {
        mPage.append("<span><i style='background:" + colour + "'></i>" + label + "</span>");
    }

    private void writePlot(SeriesBurn burn) {
        mPage.append("<figure><figcaption>" + MarkupBuilder.escape(burn.qualifiedName()));
        mPage.appendElement("span", "", burn.verdict().label());
        mPage.append("</figcaption>");
        mPage.append(TimelinePlot.of(burn, mReport.courseCoverage())).append("</figure>");
    }

    private static String countOrDot(double count) {
        return count > 0 ? ReportFormat.groupedCount(count) : "·";
    }

    private static String cssClass(Verdict verdict) {
        return switch (verdict) {
            case FAST_BURN -> "fast";
            case SLOW_BURN -> "slow";
            case OVER_BUDGET -> "over";
            case WITHIN_BUDGET, NO_REQUESTS -> "";
        };
    }

    private static String tileColour(Verdict verdict) {
        return switch (verdict) {
            case FAST_BURN -> "#b3261e";
            case SLOW_BURN -> "#e07b00";
            case OVER_BUDGET -> "#d9b400";
            case WITHIN_BUDGET -> "#5a9e6f";
            case NO_REQUESTS -> "#9aa0a6";
        };
    }
}
