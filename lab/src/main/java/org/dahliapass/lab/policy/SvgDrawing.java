package org.dahliapass.lab.policy;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/**
 * Collects the shapes of one SVG picture.
 *
 * <p>The background stays transparent, and the colours are of middle lightness, so that a picture
 * reads on white and on dark pages. All lengths are in pixels.
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

    void line(Point from, Point to, String colour, double width) {
        add(
                "<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" y2=\"%.1f\" stroke=\"%s\""
                        + " stroke-width=\"%.1f\"/>",
                from.x(), from.y(), to.x(), to.y(), colour, width);
    }

    void path(List<Point> points, String colour) {
        String corners =
                points.stream()
                        .map(point -> String.format(Locale.ROOT, "%.1f,%.1f", point.x(), point.y()))
                        .collect(Collectors.joining(" "));
        add(
                "<polyline points=\"%s\" fill=\"none\" stroke=\"%s\" stroke-width=\"1.5\"/>",
                corners, colour);
    }

    void dot(Point at, String colour) {
        add("<circle cx=\"%.1f\" cy=\"%.1f\" r=\"4\" fill=\"%s\"/>", at.x(), at.y(), colour);
    }

    void ring(Point at, double radius, String colour) {
        add(
                "<circle cx=\"%.1f\" cy=\"%.1f\" r=\"%.1f\" fill=\"none\" stroke=\"%s\""
                        + " stroke-width=\"2\"/>",
                at.x(), at.y(), radius, colour);
    }

    void text(Point at, Anchor anchor, String colour, String text) {
        add(
                "<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\" fill=\"%s\">%s</text>",
                at.x(), at.y(), anchor.mName, colour, escape(text));
    }

    private void add(String format, Object... values) {
        mShapes.append(String.format(Locale.ROOT, format, values)).append('\n');
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }

    /** Returns the picture as an SVG file's text. */
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
     * A place in the picture.
     *
     * @param x from the left
     * @param y from the top
     */
    record Point(double x, double y) {}

    /** Which part of a text stands at its place. */
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
