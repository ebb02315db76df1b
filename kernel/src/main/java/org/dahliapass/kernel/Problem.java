package org.dahliapass.kernel;

/**
 * One thing that is wrong in a settings file.
 *
 * @param file the file's name as the user gave it
 * @param section the section's name, empty for the whole file
 * @param key the key's name, empty for the whole section
 * @param met what was found, for instance "'fast'" or "nothing"
 * @param allowed what may stand there
 */
public record Problem(String file, String section, String key, String met, String allowed) {

    /** Returns the problem as one line that says what is wrong and how to mend it. */
    public String describe() {
        StringBuilder line = new StringBuilder(file);
        if (!section.isEmpty()) {
            line.append(" [").append(section).append(']');
        }
        if (!key.isEmpty()) {
            line.append(' ').append(key);
        }
        return line.append(": met ").append(met).append("; allowed: ").append(allowed).toString();
    }
}
