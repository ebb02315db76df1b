package org.dahliapass.report;

import java.util.List;
import org.dahliapass.model.burn.Outcome;

/**
 * Draws the last six hours of one request kind: the burn rate of each step above, and below it how
 * the bad requests ended. Grey marks what isn't known.
 */
final class CoursePlot {
    private static final int WIDTH = 560;
    private static final int HEIGHT = 250;
    private static final double LEFT = 44;
    private static final double RIGHT = WIDTH - 52.0;
    private static final double TOP = 26;
    private static final double RATE_BOTTOM = 140;
    private static final double ENDINGS_TOP = 170;
    private static final double ENDINGS_BOTTOM = 222;
    private static final double STEP = (RIGHT - LEFT) / Course.STEPS;
    private static final double BAR_SHARE = 0.82;
    private static final double LEAST_TOP_RATE = 100;
    private static final int STEPS_IN_HOUR = Course.STEPS / 6;
    private static final List<Double> RATE_TICKS = List.of(0.0, 1.0, 10.0, 100.0, 1000.0);

    private final SeriesBurn mBurn;
    private final List<Double> mCoverage;
    private final double mTopRate;
    private final Markup mMarkup = new Markup();

    private CoursePlot(SeriesBurn burn, List<Double> coverage) {
        mBurn = burn;
        mCoverage = coverage;
        mTopRate =
                burn.course().stream()
                        .mapToDouble(tally -> tally.burnRate(burn.objective()).orElse(0))
                        .reduce(LEAST_TOP_RATE, Math::max);
    }

    /**
     * Returns the plot as SVG.
     *
     * @param coverage how much of each step is known
     */
    static String of(SeriesBurn burn, List<Double> coverage) {
        return new CoursePlot(burn, coverage).draw();
    }

    private String draw() {
        mMarkup.raw(
                "<svg viewBox='0 0 %d %d' role='img' aria-label='%s'>",
                WIDTH, HEIGHT, Markup.escape("Last six hours of " + mBurn.name()));
        text(0, TOP - 14, "start", "burn rate");
        text(0, ENDINGS_TOP - 12, "start", "requests that weren't good, in 5 minutes");
        drawUnknown();
        drawRateAxis();
        drawRates();
        drawLimit(Verdict.FAST_LIMIT, "fast 14.4");
        drawLimit(Verdict.SLOW_LIMIT, "slow 6");
        drawEndings();
        drawTimeAxis();
        return mMarkup.raw("</svg>").toString();
    }

    private void drawUnknown() {
        for (int step = 0; step < Course.STEPS; step++) {
            double unknown = 1 - mCoverage.get(step);
            if (unknown <= 0) {
                continue;
            }
            String opacity =
                    "fill='#9aa0a6' fill-opacity='" + Math.round(unknown * 45) / 100.0 + "'";
            bar(x(step), TOP, STEP, RATE_BOTTOM - TOP, opacity);
            bar(x(step), ENDINGS_TOP, STEP, ENDINGS_BOTTOM - ENDINGS_TOP, opacity);
        }
    }

    private void drawRateAxis() {
        for (double tick : RATE_TICKS) {
            if (tick > mTopRate) {
                continue;
            }
            line(LEFT, y(tick), RIGHT, y(tick), "class='grid'");
            text(LEFT - 5, y(tick) + 3.5, "end", Integer.toString((int) tick));
        }
    }

    private void drawRates() {
        for (int step = 0; step < Course.STEPS; step++) {
            OutcomeTally tally = mBurn.course().get(step);
            if (tally.total() <= 0) {
                continue;
            }
            double rate = tally.burnRate(mBurn.objective()).orElse(0);
            double top = Math.min(y(rate), RATE_BOTTOM - 1.5);
            String fill = "fill='" + rateColour(rate) + "'";
            bar(x(step), top, STEP * BAR_SHARE, RATE_BOTTOM - top, fill);
        }
    }

    private void drawLimit(double rate, String label) {
        line(LEFT, y(rate), RIGHT, y(rate), "class='limit'");
        text(RIGHT + 4, y(rate) + 3.5, "start", label);
    }

    private void drawEndings() {
        double most = mBurn.course().stream().mapToDouble(CoursePlot::notGood).max().orElse(0);
        line(LEFT, ENDINGS_BOTTOM, RIGHT, ENDINGS_BOTTOM, "class='grid'");
        text(LEFT - 5, ENDINGS_BOTTOM + 3.5, "end", "0");
        if (most <= 0) {
            text((LEFT + RIGHT) / 2, (ENDINGS_TOP + ENDINGS_BOTTOM) / 2, "middle", "none");
            return;
        }
        line(LEFT, ENDINGS_TOP, RIGHT, ENDINGS_TOP, "class='grid'");
        text(LEFT - 5, ENDINGS_TOP + 6, "end", Figures.count(most));
        for (int step = 0; step < Course.STEPS; step++) {
            stack(step, (ENDINGS_BOTTOM - ENDINGS_TOP) / most);
        }
    }

    private void stack(int step, double unit) {
        double bottom = ENDINGS_BOTTOM;
        for (Outcome outcome : Endings.BAD) {
            double height = mBurn.course().get(step).count(outcome) * unit;
            if (height <= 0) {
                continue;
            }
            String fill = "fill='" + Endings.colour(outcome) + "'";
            bar(x(step), bottom - height, STEP * BAR_SHARE, height, fill);
            bottom -= height;
        }
    }

    private void drawTimeAxis() {
        for (int step = 0; step <= Course.STEPS; step += STEPS_IN_HOUR) {
            int hours = (Course.STEPS - step) / STEPS_IN_HOUR;
            line(x(step), ENDINGS_BOTTOM, x(step), ENDINGS_BOTTOM + 4, "class='grid'");
            text(x(step), HEIGHT - 12, "middle", hours == 0 ? "now" : "-" + hours + "h");
        }
    }

    private static double notGood(OutcomeTally tally) {
        return tally.total() - tally.good();
    }

    /** Returns the colour of a bar that shows this burn rate. */
    static String rateColour(double rate) {
        if (rate > Verdict.FAST_LIMIT) {
            return "#b3261e";
        }
        if (rate > Verdict.SLOW_LIMIT) {
            return "#e07b00";
        }
        return rate > 1 ? "#d9b400" : "#5a9e6f";
    }

    private static double x(int step) {
        return LEFT + step * STEP;
    }

    /** Places a rate on a scale that is near linear below 1 and logarithmic above. */
    private double y(double rate) {
        double share = Math.log1p(rate) / Math.log1p(mTopRate);
        return RATE_BOTTOM - share * (RATE_BOTTOM - TOP);
    }

    private void bar(double x, double y, double width, double height, String attributes) {
        mMarkup.raw(
                "<rect x='%.1f' y='%.1f' width='%.1f' height='%.1f' %s/>",
                x, y, width, height, attributes);
    }

    private void line(double x1, double y1, double x2, double y2, String attributes) {
        mMarkup.raw(
                "<line x1='%.1f' y1='%.1f' x2='%.1f' y2='%.1f' %s/>", x1, y1, x2, y2, attributes);
    }

    private void text(double x, double y, String anchor, String text) {
        mMarkup.raw(
                "<text x='%.1f' y='%.1f' text-anchor='%s'>%s</text>",
                x, y, anchor, Markup.escape(text));
    }
}
