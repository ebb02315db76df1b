package stage;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, in the order in which it was seen. */
public final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long start = System.nanoTime();

    public Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    public synchronized void write(String event, String what) {
        out.printf("%8.3f %-9s %s%n", (System.nanoTime() - start) / 1e9, event, what);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
