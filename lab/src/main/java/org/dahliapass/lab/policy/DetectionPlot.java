package org.dahliapass.lab.policy;

import java.util.List;
import java.util.Optional;
import org.dahliapass.lab.policy.SvgDrawing.Anchor;
import org.dahliapass.lab.policy.SvgDrawing.Point;

/** Plots the median detection time per fault of the production policy and the fastest other. */
final class DetectionPlot {
    private static final int LOAD_PERCENT = 80;
    private static final int WIDTH = 900;
    private static final int LEFT = 290;
    private static final int RIGHT = 720;
    private static final int NOT_FOUND_X = 760;
    private static final int LABEL_X = 805;
    private static final int TOP = 50;
    private static final int ROW_HEIGHT = 22;
    private static final int PANEL_GAP = 40;

    private final List<ResultRow> mRows;
    private final LogScale mTimes = new LogScale(10, 30_000, LEFT, RIGHT);

    DetectionPlot(List<ResultRow> rows) {
        mRows = rows;
    }

    /** Returns the SVG text, or empty if no row has a fault to detect at the plotted load. */
    Optional<String> draw() {
        List<ResultRow> production = mRows.stream().filter(this::isPlotted).toList();
        if (production.isEmpty()) {
            return Optional.empty();
        }
        List<String> deployments =
                production.stream().map(ResultRow::deployment).distinct().toList();
        int height =
                TOP
                        + production.size() * ROW_HEIGHT
                        + deployments.size() * (PANEL_GAP + ROW_HEIGHT);
        SvgDrawing drawing = new SvgDrawing(WIDTH, height);
        drawKey(drawing);
        double y = TOP + ROW_HEIGHT;
        for (String deployment : deployments) {
            List<ResultRow> panel =
                    production.stream().filter(row -> row.deployment().equals(deployment)).toList();
            drawPanel(drawing, panel, y);
            y += panel.size() * ROW_HEIGHT + PANEL_GAP + ROW_HEIGHT;
        }
        return Optional.of(drawing.toString());
    }

    private boolean isPlotted(ResultRow row) {
        boolean isDetected = row.detectionMedianMillis() >= 0;
        return row.loadPercent() == LOAD_PERCENT
                && row.contender().equals(PolicyVariant.CELL.title())
                && (isDetected || row.missedPercent() > 0);
    }

    private static void drawKey(SvgDrawing drawing) {
        double y = 20;
        drawing.text(
                new Point(10, y), Anchor.START, SvgDrawing.TEXT, "Median detection time, 80% load");
        drawing.dot(new Point(LEFT, y - 4), SvgDrawing.BLUE);
        drawing.text(new Point(LEFT + 10, y), Anchor.START, SvgDrawing.BLUE, "dahliapass");
        drawing.ring(new Point(LEFT + 110, y - 4), 5, SvgDrawing.ORANGE);
        drawing.text(
                new Point(LEFT + 120, y),
                Anchor.START,
                SvgDrawing.ORANGE,
                "fastest baseline, named at the right");
    }

    private void drawPanel(SvgDrawing drawing, List<ResultRow> rows, double top) {
        double bottom = top + rows.size() * ROW_HEIGHT;
        drawing.text(
                new Point(10, top - 6), Anchor.START, SvgDrawing.TEXT, rows.get(0).deployment());
        for (double tick : mTimes.ticks()) {
            drawTime(drawing, mTimes.pixel(tick), top, bottom, LogScale.duration(tick));
        }
        drawTime(drawing, NOT_FOUND_X, top, bottom, "not found");
        for (int index = 0; index < rows.size(); index++) {
            drawRow(drawing, rows.get(index), top + (index + 0.5) * ROW_HEIGHT);
        }
    }

    private static void drawTime(
            SvgDrawing drawing, double x, double top, double bottom, String label) {
        drawing.line(new Point(x, top), new Point(x, bottom), SvgDrawing.GRID, 1);
        drawing.text(new Point(x, bottom + 16), Anchor.MIDDLE, SvgDrawing.TEXT, label);
    }

    private void drawRow(SvgDrawing drawing, ResultRow row, double y) {
        Optional<ResultRow> other = Comparison.fastestOther(row, mRows);
        Point production = new Point(x(row.detectionMedianMillis()), y);
        Point baseline = new Point(x(other.map(ResultRow::detectionMedianMillis).orElse(-1.0)), y);
        drawing.text(new Point(LEFT - 10, y + 4), Anchor.END, SvgDrawing.TEXT, row.fault());
        drawing.line(production, baseline, SvgDrawing.GRID, 3);
        drawing.ring(baseline, 6, SvgDrawing.ORANGE);
        drawing.dot(production, SvgDrawing.BLUE);
        drawing.text(
                new Point(LABEL_X, y + 4),
                Anchor.START,
                SvgDrawing.ORANGE,
                other.map(ResultRow::contender).orElse("none"));
    }

    private double x(double millis) {
        return millis < 0 ? NOT_FOUND_X : mTimes.pixel(millis);
    }
}
