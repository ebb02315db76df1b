package org.dahliapass.lab.policy;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/**
 * An SVG drawing, with all lengths in pixels.
 *
 * <p>The background is transparent and the colors have medium lightness, so that drawings are
 * legible on light and dark pages. Not thread-safe.
 */
final class SvgDrawing {
    static final String TEXT = "#7a7a7a";
    static final String GRID = "#80808055";
    static final String BLUE = "#2f81f7";
    static final String ORANGE = "#d9730d";

    private final StringBuilder mShapes = new StringBuilder();
    private final int mWidth;
    private final int mHeight;

    SvgDrawing(int width, int height) {
        mWidth = width;
        mHeight = height;
    }

    void line(Point from, Point to, String color, double width) {
        add(
                "<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" y2=\"%.1f\" stroke=\"%s\""
                        + " stroke-width=\"%.1f\"/>",
                from.x(), from.y(), to.x(), to.y(), color, width);
    }

    void path(List<Point> points, String color) {
        String coordinates =
                points.stream()
                        .map(point -> String.format(Locale.ROOT, "%.1f,%.1f", point.x(), point.y()))
                        .collect(Collectors.joining(" "));
        add(
                "<polyline points=\"%s\" fill=\"none\" stroke=\"%s\" stroke-width=\"1.5\"/>",
                coordinates, color);
    }

    void dot(Point position, String color) {
        add(
                "<circle cx=\"%.1f\" cy=\"%.1f\" r=\"4\" fill=\"%s\"/>",
                position.x(), position.y(), color);
    }

    void ring(Point position, double radius, String color) {
        add(
                "<circle cx=\"%.1f\" cy=\"%.1f\" r=\"%.1f\" fill=\"none\" stroke=\"%s\""
                        + " stroke-width=\"2\"/>",
                position.x(), position.y(), radius, color);
    }

    void text(Point position, Anchor anchor, String color, String text) {
        add(
                "<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\" fill=\"%s\">%s</text>",
                position.x(), position.y(), anchor.mName, color, escape(text));
    }

    private void add(String format, Object... values) {
        mShapes.append(String.format(Locale.ROOT, format, values)).append('\n');
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }

    /** Returns the SVG text. */
    @Override
    public String toString() {
        return String.format(
                        Locale.ROOT,
                        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\""
                                + " viewBox=\"0 0 %d %d\" font-family=\"sans-serif\""
                                + " font-size=\"12\">%n",
                        mWidth,
                        mHeight,
                        mWidth,
                        mHeight)
                + mShapes
                + "</svg>\n";
    }

    /**
     * A position in the drawing.
     *
     * @param x the distance from the left
     * @param y the distance from the top
     */
    record Point(double x, double y) {}

    /** The part of a text that is aligned with its position. */
    enum Anchor {
        START("start"),
        MIDDLE("middle"),
        END("end");

        private final String mName;

        Anchor(String name) {
            mName = name;
        }
    }
}
