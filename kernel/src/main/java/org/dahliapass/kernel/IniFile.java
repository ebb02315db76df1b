package org.dahliapass.kernel;

import java.io.IOException;
import java.io.StringReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.ini4j.Config;
import org.ini4j.Ini;
import org.ini4j.Profile;

/**
 * A settings file in INI format that collects all its problems and reports them together.
 *
 * <p>{@link #throwIfInvalid()} also reports sections and keys that were never requested.
 */
public final class IniFile {
    private final String mName;
    private final List<SettingsProblem> mProblems = new ArrayList<>();
    private final List<IniSection> mSections = new ArrayList<>();

    private IniFile(String name) {
        mName = name;
    }

    /**
     * Reads a file.
     *
     * @throws SettingsException if the file can't be read or isn't valid INI
     */
    public static IniFile read(Path path) {
        try {
            return parse(path.toString(), Files.readString(path));
        } catch (IOException failure) {
            throw new SettingsException(
                    List.of(
                            new SettingsProblem(
                                    path.toString(), "", "", "an unreadable file", "INI text")));
        }
    }

    /**
     * Parses a text. A duplicate section or key is reported as a problem.
     *
     * @param name the file name used in problems
     * @throws SettingsException if the text isn't valid INI
     */
    public static IniFile parse(String name, String text) {
        IniFile file = new IniFile(name);
        Ini ini = new Ini();
        Config config = Config.getGlobal().clone();
        config.setMultiSection(true);
        config.setMultiOption(true);
        config.setEscape(false);
        ini.setConfig(config);
        try {
            ini.load(new StringReader(text));
        } catch (IOException failure) {
            throw new SettingsException(
                    List.of(new SettingsProblem(name, "", "", failure.getMessage(), "INI text")));
        }
        for (String sectionName : ini.keySet()) {
            file.addSection(sectionName, ini.getAll(sectionName));
        }
        return file;
    }

    private void addSection(String sectionName, List<Profile.Section> sections) {
        if (sections.size() > 1) {
            report(sectionName, "", sections.size() + " sections of this name", "one");
        }
        mSections.add(new IniSection(this, sectionName, sections.get(0)));
    }

    /** Returns the section of this name; a missing one is reported and treated as empty. */
    public IniSection section(String name) {
        Optional<IniSection> found = optionalSection(name);
        if (found.isPresent()) {
            return found.get();
        }
        report(name, "", "no such section", "a section of this name");
        return new IniSection(this, name, null);
    }

    /** Returns the section of this name, if it exists. */
    public Optional<IniSection> optionalSection(String name) {
        Optional<IniSection> found =
                mSections.stream().filter(section -> section.name().equals(name)).findFirst();
        found.ifPresent(IniSection::markRequested);
        return found;
    }

    /** Returns the section of this name; a missing one is treated as empty and not reported. */
    public IniSection sectionOrEmpty(String name) {
        return optionalSection(name).orElseGet(() -> new IniSection(this, name, null));
    }

    /** Returns, in file order, the sections whose names start with this word and a space. */
    public List<IniSection> sectionsWithPrefix(String word) {
        List<IniSection> found =
                mSections.stream()
                        .filter(section -> section.name().startsWith(word + " "))
                        .toList();
        found.forEach(IniSection::markRequested);
        return found;
    }

    /** Reports a problem. */
    public void report(String section, String key, String actual, String expected) {
        mProblems.add(new SettingsProblem(mName, section, key, actual, expected));
    }

    boolean isValid(String section) {
        return mProblems.stream().noneMatch(problem -> problem.section().equals(section));
    }

    /**
     * Validates the file after all settings have been read.
     *
     * @throws SettingsException with all problems, including unknown sections and keys
     */
    public void throwIfInvalid() {
        for (IniSection section : mSections) {
            section.reportUnknown();
        }
        if (!mProblems.isEmpty()) {
            throw new SettingsException(mProblems);
        }
    }
}
