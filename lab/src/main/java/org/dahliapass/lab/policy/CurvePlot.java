package org.dahliapass.lab.policy;

import java.math.BigDecimal;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import org.dahliapass.lab.policy.SvgDrawing.Anchor;
import org.dahliapass.lab.policy.SvgDrawing.Point;

/** Plots detection time against healthy target-seconds ejected for a range of tolerances. */
final class CurvePlot {
    private static final int PANEL_WIDTH = 500;
    private static final int LEFT = 75;
    private static final int PLOT_WIDTH = 400;
    private static final int HEIGHT = 500;
    private static final int TOP = 80;
    private static final int NOT_FOUND_Y = 65;
    private static final int BOTTOM = 440;
    private static final double LABEL_HEIGHT = 13;

    /** Space beside the axis for the labels of the points at zero. */
    private static final double LABEL_WIDTH = 110;

    private final List<CurvePoint> mCurve;
    private final LogScale mTimes = new LogScale(10, 30_000, BOTTOM, TOP);
    private final double mMaxSeconds;

    CurvePlot(List<CurvePoint> curve) {
        mCurve = curve;
        double maxSeconds = curve.stream().mapToDouble(CurvePoint::wrongSeconds).max().orElse(0);
        mMaxSeconds = Math.pow(10, Math.ceil(Math.log10(Math.max(10, maxSeconds))));
    }

    String draw() {
        List<String> deployments = mCurve.stream().map(CurvePoint::deployment).distinct().toList();
        SvgDrawing drawing = new SvgDrawing(PANEL_WIDTH * deployments.size(), HEIGHT);
        drawing.text(
                new Point(LEFT, 20),
                Anchor.START,
                SvgDrawing.TEXT,
                "Median detection time against healthy target-seconds ejected at 80% load;"
                        + " points are labeled with the tolerance");
        for (int panel = 0; panel < deployments.size(); panel++) {
            drawPanel(drawing, deployments.get(panel), panel * PANEL_WIDTH + LEFT);
        }
        return drawing.toString();
    }

    private void drawPanel(SvgDrawing drawing, String deployment, double left) {
        LogScale seconds =
                new LogScale(1, mMaxSeconds + 1, left + LABEL_WIDTH, left + PLOT_WIDTH - 10);
        drawing.text(new Point(left, 45), Anchor.START, SvgDrawing.TEXT, deployment);
        drawTimes(drawing, left);
        drawSeconds(drawing, seconds);
        List<CurvePoint> points =
                mCurve.stream().filter(point -> point.deployment().equals(deployment)).toList();
        drawSeries(drawing, seconds, points, CurvePoint::failsTenthMillis, SvgDrawing.ORANGE);
        drawSeries(drawing, seconds, points, CurvePoint::failsAllMillis, SvgDrawing.BLUE);
        drawKey(drawing, left, points);
    }

    private static void drawKey(SvgDrawing drawing, double left, List<CurvePoint> points) {
        double y = 45;
        drawing.dot(new Point(left + 90, y - 4), SvgDrawing.ORANGE);
        drawing.text(new Point(left + 98, y), Anchor.START, SvgDrawing.ORANGE, "10% fail");
        drawing.dot(new Point(left + 165, y - 4), SvgDrawing.BLUE);
        drawing.text(new Point(left + 173, y), Anchor.START, SvgDrawing.BLUE, "100% fail");
        for (CurvePoint point : points) {
            if (point.isSetting()) {
                drawing.ring(new Point(left + 250, y - 4), 7, SvgDrawing.TEXT);
                drawing.text(
                        new Point(left + 262, y),
                        Anchor.START,
                        SvgDrawing.TEXT,
                        "configured, " + number(point.tolerance()));
            }
        }
    }

    private void drawTimes(SvgDrawing drawing, double left) {
        for (double tick : mTimes.ticks()) {
            drawTime(drawing, left, mTimes.pixel(tick), LogScale.duration(tick));
        }
        drawTime(drawing, left, NOT_FOUND_Y, "not found");
    }

    private static void drawTime(SvgDrawing drawing, double left, double y, String label) {
        drawing.line(new Point(left, y), new Point(left + PLOT_WIDTH, y), SvgDrawing.GRID, 1);
        drawing.text(new Point(left - 8, y + 4), Anchor.END, SvgDrawing.TEXT, label);
    }

    private void drawSeconds(SvgDrawing drawing, LogScale seconds) {
        drawSecond(drawing, seconds, 0);
        for (double tick : new LogScale(1, mMaxSeconds, 0, 1).ticks()) {
            drawSecond(drawing, seconds, tick);
        }
        double middle = (seconds.start() + seconds.end()) / 2;
        drawing.text(
                new Point(middle, BOTTOM + 45),
                Anchor.MIDDLE,
                SvgDrawing.TEXT,
                "healthy target-seconds ejected, without faults and with short pauses");
    }

    private static void drawSecond(SvgDrawing drawing, LogScale seconds, double tick) {
        double x = seconds.pixel(tick + 1);
        drawing.line(new Point(x, NOT_FOUND_Y), new Point(x, BOTTOM), SvgDrawing.GRID, 1);
        drawing.text(
                new Point(x, BOTTOM + 20),
                Anchor.MIDDLE,
                SvgDrawing.TEXT,
                String.format(Locale.ROOT, "%.0f", tick));
    }

    private void drawSeries(
            SvgDrawing drawing,
            LogScale seconds,
            List<CurvePoint> points,
            ToDoubleFunction<CurvePoint> millis,
            String color) {
        List<Point> positions =
                points.stream().map(point -> position(seconds, point, millis)).toList();
        drawing.path(positions, color);
        for (int index = 0; index < positions.size(); index++) {
            drawing.dot(positions.get(index), color);
            if (points.get(index).isSetting()) {
                drawing.ring(positions.get(index), 7, color);
            }
        }
        int first = 0;
        while (first < positions.size()) {
            int last = lastWithinLabel(positions, first);
            drawLabel(drawing, positions, first, last, label(points, first, last), color);
            first = last + 1;
        }
    }

    private Point position(
            LogScale seconds, CurvePoint point, ToDoubleFunction<CurvePoint> millis) {
        double time = millis.applyAsDouble(point);
        double y = time < 0 ? NOT_FOUND_Y : mTimes.pixel(time);
        return new Point(seconds.pixel(point.wrongSeconds() + 1), y);
    }

    /** Returns the index of the last point that shares the label of the first. */
    private static int lastWithinLabel(List<Point> positions, int first) {
        int last = first;
        while (last + 1 < positions.size()
                && isNear(positions.get(first), positions.get(last + 1))) {
            last++;
        }
        return last;
    }

    private static boolean isNear(Point first, Point other) {
        return Math.abs(first.x() - other.x()) < LABEL_HEIGHT
                && Math.abs(first.y() - other.y()) < LABEL_HEIGHT;
    }

    private static String label(List<CurvePoint> points, int first, int last) {
        String start = number(points.get(first).tolerance());
        return first == last ? start : start + " to " + number(points.get(last).tolerance());
    }

    private static String number(double tolerance) {
        return tolerance < 0.001
                ? String.format(Locale.ROOT, "%.0e", tolerance).replace("e-0", "e-")
                : BigDecimal.valueOf(tolerance).stripTrailingZeros().toPlainString();
    }

    /** Draws the label left of the points, or above them if a line enters from the left. */
    private static void drawLabel(
            SvgDrawing drawing,
            List<Point> positions,
            int first,
            int last,
            String label,
            String color) {
        double x = positions.get(first).x();
        double y = (positions.get(first).y() + positions.get(last).y()) / 2;
        boolean isAbove = x > positions.get(0).x();
        drawing.text(
                isAbove ? new Point(x, y - 11) : new Point(x - 11, y + 4),
                isAbove ? Anchor.MIDDLE : Anchor.END,
                color,
                label);
    }
}
