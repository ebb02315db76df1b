package org.dahliapass.report;

import java.util.Locale;

/** Collects HTML and SVG text; everything that comes from outside goes through {@link #escape}. */
final class MarkupBuilder {
    private final StringBuilder mText = new StringBuilder();

    /** Returns a text in which no character is read as markup. */
    static String escape(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }

    /** Adds markup. */
    MarkupBuilder append(String markup) {
        mText.append(markup).append('\n');
        return this;
    }

    /** Adds markup made by a format; numbers are written without regard to the locale. */
    MarkupBuilder append(String format, Object... values) {
        return append(String.format(Locale.ROOT, format, values));
    }

    /** Adds an element with a text. */
    MarkupBuilder appendElement(String name, String attributes, String text) {
        String opening = attributes.isEmpty() ? name : name + " " + attributes;
        return append("<" + opening + ">" + escape(text) + "</" + name + ">");
    }

    @Override
    public String toString() {
        return mText.toString();
    }
}
