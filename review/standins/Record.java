import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, one line each with the time in milliseconds. */
final class Record implements AutoCloseable {
    private final PrintWriter mWriter;

    Record(Path file) {
        try {
            mWriter = new PrintWriter(Files.newBufferedWriter(file));
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    synchronized void line(String text) {
        mWriter.println(Clock.millis() + " " + text);
    }

    /** Writes a line that is shown as well. */
    synchronized void say(String text) {
        line(text);
        System.out.println(text);
    }

    @Override
    public synchronized void close() {
        mWriter.close();
    }
}
