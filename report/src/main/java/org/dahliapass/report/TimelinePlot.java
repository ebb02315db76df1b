package org.dahliapass.report;

import java.util.List;
import org.dahliapass.model.burn.Outcome;

/**
 * Draws the last six hours of one request kind as SVG: burn rates above, outcomes other than good
 * below. A grey background marks missing data.
 */
final class TimelinePlot {
    private static final int WIDTH = 560;
    private static final int HEIGHT = 250;
    private static final double LEFT = 44;
    private static final double RIGHT = WIDTH - 52.0;
    private static final double TOP = 26;
    private static final double RATE_BOTTOM = 140;
    private static final double OUTCOMES_TOP = 170;
    private static final double OUTCOMES_BOTTOM = 222;
    private static final double STEP_WIDTH = (RIGHT - LEFT) / ReportTimeline.STEP_COUNT;
    private static final double BAR_WIDTH_RATIO = 0.82;
    private static final double MIN_AXIS_RATE = 100;
    private static final int STEPS_PER_HOUR = ReportTimeline.STEP_COUNT / 6;
    private static final List<Double> RATE_TICKS = List.of(0.0, 1.0, 10.0, 100.0, 1000.0);

    private final SeriesBurn mBurn;
    private final List<Double> mCoverage;
    private final double mMaxRate;
    private final MarkupBuilder mMarkup = new MarkupBuilder();

    private TimelinePlot(SeriesBurn burn, List<Double> coverage) {
        mBurn = burn;
        mCoverage = coverage;
        mMaxRate =
                burn.course().stream()
                        .mapToDouble(tally -> tally.burnRate(burn.objective()).orElse(0))
                        .reduce(MIN_AXIS_RATE, Math::max);
    }

    /**
     * Returns the plot as SVG.
     *
     * @param coverage the fraction of all VMs' time that was counted in each step, 0 to 1
     */
    static String of(SeriesBurn burn, List<Double> coverage) {
        return new TimelinePlot(burn, coverage).draw();
    }

    private String draw() {
        mMarkup.append(
                "<svg viewBox='0 0 %d %d' role='img' aria-label='%s'>",
                WIDTH, HEIGHT, MarkupBuilder.escape("Last six hours of " + mBurn.qualifiedName()));
        drawText(0, TOP - 14, "start", "burn rate");
        drawText(0, OUTCOMES_TOP - 12, "start", "requests other than good, per 5 minutes");
        drawDataGaps();
        drawRateAxis();
        drawRates();
        drawThreshold(Verdict.FAST_BURN_THRESHOLD, "fast 14.4");
        drawThreshold(Verdict.SLOW_BURN_THRESHOLD, "slow 6");
        drawOutcomes();
        drawTimeAxis();
        return mMarkup.append("</svg>").toString();
    }

    private void drawDataGaps() {
        for (int step = 0; step < ReportTimeline.STEP_COUNT; step++) {
            double missing = 1 - mCoverage.get(step);
            if (missing <= 0) {
                continue;
            }
            String opacity =
                    "fill='#9aa0a6' fill-opacity='" + Math.round(missing * 45) / 100.0 + "'";
            drawBar(x(step), TOP, STEP_WIDTH, RATE_BOTTOM - TOP, opacity);
            drawBar(x(step), OUTCOMES_TOP, STEP_WIDTH, OUTCOMES_BOTTOM - OUTCOMES_TOP, opacity);
        }
    }

    private void drawRateAxis() {
        for (double tick : RATE_TICKS) {
            if (tick > mMaxRate) {
                continue;
            }
            drawLine(LEFT, y(tick), RIGHT, y(tick), "class='grid'");
            drawText(LEFT - 5, y(tick) + 3.5, "end", Integer.toString((int) tick));
        }
    }

    private void drawRates() {
        for (int step = 0; step < ReportTimeline.STEP_COUNT; step++) {
            OutcomeTally tally = mBurn.course().get(step);
            if (tally.total() <= 0) {
                continue;
            }
            double rate = tally.burnRate(mBurn.objective()).orElse(0);
            double top = Math.min(y(rate), RATE_BOTTOM - 1.5);
            String fill = "fill='" + rateColour(rate) + "'";
            drawBar(x(step), top, STEP_WIDTH * BAR_WIDTH_RATIO, RATE_BOTTOM - top, fill);
        }
    }

    private void drawThreshold(double rate, String label) {
        drawLine(LEFT, y(rate), RIGHT, y(rate), "class='limit'");
        drawText(RIGHT + 4, y(rate) + 3.5, "start", label);
    }

    private void drawOutcomes() {
        double maxCount =
                mBurn.course().stream().mapToDouble(TimelinePlot::notGoodCount).max().orElse(0);
        drawLine(LEFT, OUTCOMES_BOTTOM, RIGHT, OUTCOMES_BOTTOM, "class='grid'");
        drawText(LEFT - 5, OUTCOMES_BOTTOM + 3.5, "end", "0");
        if (maxCount <= 0) {
            drawText((LEFT + RIGHT) / 2, (OUTCOMES_TOP + OUTCOMES_BOTTOM) / 2, "middle", "none");
            return;
        }
        drawLine(LEFT, OUTCOMES_TOP, RIGHT, OUTCOMES_TOP, "class='grid'");
        drawText(LEFT - 5, OUTCOMES_TOP + 6, "end", ReportFormat.count(maxCount));
        for (int step = 0; step < ReportTimeline.STEP_COUNT; step++) {
            drawOutcomeBar(step, (OUTCOMES_BOTTOM - OUTCOMES_TOP) / maxCount);
        }
    }

    private void drawOutcomeBar(int step, double unit) {
        double bottom = OUTCOMES_BOTTOM;
        for (Outcome outcome : OutcomeStyle.NOT_GOOD) {
            double height = mBurn.course().get(step).count(outcome) * unit;
            if (height <= 0) {
                continue;
            }
            String fill = "fill='" + OutcomeStyle.colour(outcome) + "'";
            drawBar(x(step), bottom - height, STEP_WIDTH * BAR_WIDTH_RATIO, height, fill);
            bottom -= height;
        }
    }

    private void drawTimeAxis() {
        for (int step = 0; step <= ReportTimeline.STEP_COUNT; step += STEPS_PER_HOUR) {
            int hours = (ReportTimeline.STEP_COUNT - step) / STEPS_PER_HOUR;
            drawLine(x(step), OUTCOMES_BOTTOM, x(step), OUTCOMES_BOTTOM + 4, "class='grid'");
            drawText(x(step), HEIGHT - 12, "middle", hours == 0 ? "now" : "-" + hours + "h");
        }
    }

    private static double notGoodCount(OutcomeTally tally) {
        return tally.total() - tally.good();
    }

    /** Returns the bar colour for a burn rate. */
    static String rateColour(double rate) {
        if (rate > Verdict.FAST_BURN_THRESHOLD) {
            return "#b3261e";
        }
        if (rate > Verdict.SLOW_BURN_THRESHOLD) {
            return "#e07b00";
        }
        return rate > 1 ? "#d9b400" : "#5a9e6f";
    }

    private static double x(int step) {
        return LEFT + step * STEP_WIDTH;
    }

    /** Returns the y coordinate of a rate on a log(1 + rate) scale. */
    private double y(double rate) {
        double share = Math.log1p(rate) / Math.log1p(mMaxRate);
        return RATE_BOTTOM - share * (RATE_BOTTOM - TOP);
    }

    private void drawBar(double x, double y, double width, double height, String attributes) {
        mMarkup.append(
                "<rect x='%.1f' y='%.1f' width='%.1f' height='%.1f' %s/>",
                x, y, width, height, attributes);
    }

    private void drawLine(double x1, double y1, double x2, double y2, String attributes) {
        mMarkup.append(
                "<line x1='%.1f' y1='%.1f' x2='%.1f' y2='%.1f' %s/>", x1, y1, x2, y2, attributes);
    }

    private void drawText(double x, double y, String anchor, String text) {
        mMarkup.append(
                "<text x='%.1f' y='%.1f' text-anchor='%s'>%s</text>",
                x, y, anchor, MarkupBuilder.escape(text));
    }
}
