package org.dahliapass.report;

import java.util.Arrays;
import java.util.List;
import org.dahliapass.model.burn.Outcome;

/** Writes the report as one page that needs nothing else: no script, no other file, no network. */
final class HtmlReport {
    private static final int MOST_PLOTS = 40;
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
    private final Markup mPage = new Markup();

    private HtmlReport(BurnReport report) {
        mReport = report;
    }

    static String of(BurnReport report) {
        return new HtmlReport(report).write();
    }

    private String write() {
        mPage.raw("<!doctype html>")
                .raw("<html lang='en'><head><meta charset='utf-8'>")
                .raw("<title>dahliapass burn report</title><style>")
                .raw(STYLE)
                .raw("</style></head><body>");
        writeHead();
        writeUnknowns();
        writeTable();
        writePlots();
        return mPage.raw("</body></html>").toString();
    }

    private void writeHead() {
        int vms = mReport.answered().size() + mReport.silent().size();
        mPage.element("h1", "", "Service-level burn");
        mPage.element(
                "p",
                "class='note'",
                Figures.time(mReport.generatedMillis())
                        + ", "
                        + mReport.answered().size()
                        + " of "
                        + vms
                        + " VMs told what they know. Burn rate 1 spends the error budget just in"
                        + " time.");
        mPage.raw("<div class='tiles'>");
        for (Verdict verdict : Verdict.values()) {
            mPage.raw("<div class='tile' style='border-left-color:" + tileColour(verdict) + "'>");
            mPage.element("b", "", Long.toString(mReport.count(verdict)));
            mPage.element("span", "", tileLabel(verdict)).raw("</div>");
        }
        mPage.raw("</div>");
    }

    /** What wasn't seen may have been bad: a good verdict says so unless all is known. */
    private String tileLabel(Verdict verdict) {
        boolean certain = verdict != Verdict.WITHIN_BUDGET || mReport.isComplete();
        return certain ? verdict.label() : verdict.label() + ", as far as known";
    }

    private void writeUnknowns() {
        List<String> unknowns = Unknowns.of(mReport);
        mPage.raw("<div class='unknown'>");
        if (unknowns.isEmpty()) {
            mPage.element("b", "", "Every VM told, and each has counted for the whole 6 hours.");
        } else {
            mPage.element("b", "", "What this report doesn't know").raw("<ul>");
            unknowns.forEach(sentence -> mPage.element("li", "", sentence));
            mPage.raw("</ul>");
        }
        mPage.raw("</div>");
    }

    private void writeTable() {
        mPage.element("h2", "", "Request kinds, the worst first");
        if (mReport.series().isEmpty()) {
            mPage.element("p", "", "No request was counted in the last 6 hours.");
            return;
        }
        writeTableHead();
        mReport.series().forEach(this::writeRow);
        mPage.raw("</tbody></table></div>");
        mPage.element(
                "p",
                "class='note'",
                "Fast burn: 5m and 1h both over 14.4. Slow burn: 30m and 6h both over 6. Over"
                        + " budget: 6h over 1, without an alarm.");
    }

    private void writeTableHead() {
        mPage.raw("<div class='wide'><table><thead><tr><th colspan='5'></th>");
        mPage.raw("<th class='group' colspan='" + BurnWindow.values().length + "'>burn rate</th>");
        mPage.raw("<th class='group' colspan='" + (Endings.BAD.size() + 2) + "'>requests in 6h");
        mPage.raw("</th></tr><tr>");
        for (String heading : List.of("Verdict", "Customer", "Service", "Kind")) {
            mPage.element("th", "class='left'", heading);
        }
        mPage.element("th", "", "Objective");
        Arrays.stream(BurnWindow.values())
                .forEach(window -> mPage.element("th", "", window.label()));
        mPage.element("th", "", "all").element("th", "", "bad");
        Endings.BAD.forEach(outcome -> mPage.element("th", "", Endings.label(outcome)));
        mPage.raw("</tr></thead><tbody>");
    }

    private void writeRow(SeriesBurn burn) {
        OutcomeTally tally = burn.windows().of(BurnWindow.SIX_HOURS).tally();
        mPage.raw("<tr>");
        mPage.element(
                "td", "class='left verdict " + shade(burn.verdict()) + "'", burn.verdict().label());
        mPage.element("td", "class='left'", burn.customer());
        mPage.element("td", "class='left'", burn.service());
        mPage.element("td", "class='left'", burn.kind());
        mPage.element("td", "", Figures.percentage(burn.objective()));
        burn.windows().windows().forEach(this::writeRate);
        mPage.element("td", "", Figures.grouped(tally.total()));
        mPage.element("td", "", Figures.grouped(tally.bad()));
        Endings.BAD.forEach(outcome -> mPage.element("td", "", countOrDot(tally.count(outcome))));
        mPage.raw("</tr>");
    }

    private void writeRate(WindowBurn burn) {
        double rate = burn.burnRate().orElse(0);
        String shade = rate > Verdict.FAST_LIMIT ? "fast" : rate > 1 ? "over" : "";
        if (rate > Verdict.SLOW_LIMIT && rate <= Verdict.FAST_LIMIT) {
            shade = "slow";
        }
        mPage.element("td", "class='" + shade + "'", Figures.rate(burn.burnRate()));
    }

    private void writePlots() {
        if (mReport.series().isEmpty()) {
            return;
        }
        mPage.element("h2", "", "The last six hours");
        if (mReport.series().size() > MOST_PLOTS) {
            String left = Integer.toString(mReport.series().size() - MOST_PLOTS);
            mPage.element("p", "class='note'", "The worst 40; " + left + " more in the table.");
        }
        writeLegends();
        mPage.raw("<div class='plots'>");
        mReport.series().stream().limit(MOST_PLOTS).forEach(this::writePlot);
        mPage.raw("</div>");
    }

    private void writeLegends() {
        mPage.raw("<p class='legend'>Burn rate: ");
        writeKey(CoursePlot.rateColour(0), "up to 1");
        writeKey(CoursePlot.rateColour(Verdict.SLOW_LIMIT), "over 1");
        writeKey(CoursePlot.rateColour(Verdict.FAST_LIMIT), "over 6");
        writeKey(CoursePlot.rateColour(Double.MAX_VALUE), "over 14.4");
        mPage.raw("</p><p class='legend'>Requests: ");
        for (Outcome outcome : Endings.BAD) {
            writeKey(Endings.colour(outcome), Endings.label(outcome));
        }
        mPage.raw("</p><p class='legend'>Background: ");
        writeKey(
                "#d3d5d8",
                "not known, as VMs are silent or younger than this; the darker, the less is known");
        mPage.raw("</p>");
    }

    private void writeKey(String colour, String label) {
        mPage.raw("<span><i style='background:" + colour + "'></i>" + label + "</span>");
    }

    private void writePlot(SeriesBurn burn) {
        mPage.raw("<figure><figcaption>" + Markup.escape(burn.name()));
        mPage.element("span", "", burn.verdict().label());
        mPage.raw("</figcaption>");
        mPage.raw(CoursePlot.of(burn, mReport.courseCoverage())).raw("</figure>");
    }

    private static String countOrDot(double count) {
        return count > 0 ? Figures.grouped(count) : "·";
    }

    private static String shade(Verdict verdict) {
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
