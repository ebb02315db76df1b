package org.dahliapass.lab.latency;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.dahliapass.kernel.OperationException;

/** The resident set of a process, as the Linux kernel counts it in {@code /proc/PID/status}. */
final class ResidentMemory {
    private static final Pattern LINE = Pattern.compile("VmRSS:\\s+(\\d+) kB");

    private final Path mStatus;

    ResidentMemory(long pid) {
        mStatus = Path.of("/proc", Long.toString(pid), "status");
    }

    /** Returns the resident set now, in kibibytes. */
    long kibibytes() {
        try {
            return parse(Files.readAllLines(mStatus));
        } catch (IOException failure) {
            throw new OperationException(
                    "read", mStatus.toString(), "Give the pid of a process that runs.", failure);
        }
    }

    /** Returns the resident set that a status file's lines tell, in kibibytes. */
    static long parse(List<String> lines) {
        for (String line : lines) {
            Matcher matcher = LINE.matcher(line);
            if (matcher.matches()) {
                return Long.parseLong(matcher.group(1));
            }
        }
        throw new OperationException(
                "read", "status", "It has no VmRSS line; the process has ended.");
    }
}
