package org.dahliapass.lab.latency;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.dahliapass.kernel.OperationException;

/** The machine's load average, printed with each figure: others may have used the machine too. */
final class SystemLoad {
    private static final Path LOAD = Path.of("/proc/loadavg");

    private SystemLoad() {}

    /**
     * Returns a line with the load averages over 1, 5 and 15 minutes, what else the kernel tells of
     * its runnable threads, and the number of processors.
     */
    static String line() {
        try {
            return "load average "
                    + Files.readString(LOAD).strip()
                    + "; processors "
                    + Runtime.getRuntime().availableProcessors();
        } catch (IOException failure) {
            throw new OperationException("read", LOAD.toString(), "Run on Linux.", failure);
        }
    }
}
