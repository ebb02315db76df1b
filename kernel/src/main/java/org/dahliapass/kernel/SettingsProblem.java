package org.dahliapass.kernel;

/**
 * One thing that is wrong in a settings file.
 *
 * @param file the file's name as the user gave it
 * @param section the section's name, empty for the whole file
 * @param key the key's name, empty for the whole section
 * @param actual what was found, for instance "'fast'" or "nothing"
 * @param expected what may stand there
 */
public record SettingsProblem(
        String file, String section, String key, String actual, String expected) {

    /** Returns the problem as one line that says what is wrong and how to mend it. */
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
