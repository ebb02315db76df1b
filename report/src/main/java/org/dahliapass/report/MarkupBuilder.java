package org.dahliapass.report;

import java.util.Locale;

/** A builder for HTML and SVG; external text must be escaped by {@link #escape}. */
final class MarkupBuilder {
    private final StringBuilder mText = new StringBuilder();

    /** Returns the text with markup characters escaped. */
    static String escape(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }

    /** Appends markup unescaped. */
    MarkupBuilder append(String markup) {
        mText.append(markup).append('\n');
        return this;
    }

    /** Appends formatted markup unescaped; numbers are formatted independently of the locale. */
    MarkupBuilder append(String format, Object... values) {
        return append(String.format(Locale.ROOT, format, values));
    }

    /** Appends an element with escaped text. */
    MarkupBuilder appendElement(String name, String attributes, String text) {
        String opening = attributes.isEmpty() ? name : name + " " + attributes;
        return append("<" + opening + ">" + escape(text) + "</" + name + ">");
    }

    @Override
    public String toString() {
        return mText.toString();
    }
}
