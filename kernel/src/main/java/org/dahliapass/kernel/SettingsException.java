package org.dahliapass.kernel;

import java.util.List;
import java.util.stream.Collectors;

/** All problems of one settings file at once. */
public final class SettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient List<SettingsProblem> mProblems;

    /** Creates the failure from the problems, in the order in which they stand in the file. */
    public SettingsException(List<SettingsProblem> problems) {
        super(problems.stream().map(SettingsProblem::describe).collect(Collectors.joining("\n")));
        mProblems = List.copyOf(problems);
    }

    /** Returns the problems. */
    public List<SettingsProblem> problems() {
        return mProblems;
    }
}
