package org.dahliapass.kernel;

/**
 * A problem in a settings file.
 *
 * @param file the file name as given by the user
 * @param section the section's name; empty if the problem concerns the whole file
 * @param key the key; empty if the problem concerns the whole section
 * @param actual the value or state found, for instance "'fast'" or "nothing"
 * @param expected the description of valid values
 */
public record SettingsProblem(
        String file, String section, String key, String actual, String expected) {

    /** Returns the problem and the valid values on one line. */
    public String describe() {
        StringBuilder line = new StringBuilder(file);
        if (!section.isEmpty()) {
            line.append(" [").append(section).append(']');
        }
        if (!key.isEmpty()) {
            line.append(' ').append(key);
        }
        return line.append(": met ")
                .append(actual)
                .append("; allowed: ")
                .append(expected)
                .toString();
    }
}
