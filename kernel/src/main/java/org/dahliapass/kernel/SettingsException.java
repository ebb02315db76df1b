package org.dahliapass.kernel;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown with all problems of a settings file. */
public final class SettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient List<SettingsProblem> mProblems;

    /** Creates the exception from the problems, in the order in which they were reported. */
    public SettingsException(List<SettingsProblem> problems) {
        super(problems.stream().map(SettingsProblem::describe).collect(Collectors.joining("\n")));
        mProblems = List.copyOf(problems);
    }

    /** Returns the problems, in the order in which they were reported. */
    public List<SettingsProblem> problems() {
        return mProblems;
    }
}
