package org.dahliapass.decisions.memory;

import java.util.OptionalInt;

/** Decides whether a connection of a caller is accepted, by the file descriptors of the process. */
public final class DescriptorPolicy {
    /** Leaves descriptors for files, listeners, the store and other VMs. */
    private static final double MAX_SHARE = 0.9;

    /**
     * The platform counts these among the descriptors of a process and keeps them for its files.
     */
    private static final int FILE_DESCRIPTORS = 200;

    private final OptionalInt mDescriptors;

    /**
     * Creates a policy.
     *
     * @param descriptors the file descriptors that the process may open, with those that the
     *     platform keeps for files; empty for no limit
     */
    public DescriptorPolicy(OptionalInt descriptors) {
        mDescriptors = descriptors;
    }

    /**
     * Returns whether another connection of a caller may be opened.
     *
     * @param callers the number of open connections of callers
     * @param targets the number of open connections to targets
     */
    public boolean accepts(int callers, int targets) {
        return mDescriptors.isEmpty()
                || callers < connections(mDescriptors.getAsInt()) * MAX_SHARE - targets;
    }

    /** Returns the descriptors for connections; half of them where the platform's are more. */
    private static int connections(int descriptors) {
        return Math.max(descriptors - FILE_DESCRIPTORS, descriptors / 2);
    }
}
