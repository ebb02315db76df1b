package org.dahliapass.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.dahliapass.kernel.ManualClock;
import org.testng.annotations.Test;

/** Tests of {@link EventLog}. */
public final class EventLogTest {
    private static final Duration SECOND = Duration.ofSeconds(1);

    /** An output that records each write as a line; while stalled, it blocks every write. */
    private static final class RecordingOutput extends OutputStream {
        private final CountDownLatch mUnblocked;
        private final List<String> mLines = new ArrayList<>();

        private RecordingOutput(boolean stalled) {
            mUnblocked = new CountDownLatch(stalled ? 1 : 0);
        }

        @Override
        public void write(int value) throws IOException {
            throw new IOException("Lines are written whole.");
        }

        @Override
        public void write(byte[] bytes, int offset, int length) throws IOException {
            try {
                mUnblocked.await();
            } catch (InterruptedException failure) {
                Thread.currentThread().interrupt();
                throw new IOException(failure);
            }
            synchronized (mLines) {
                mLines.add(new String(bytes, offset, length, StandardCharsets.UTF_8));
            }
        }

        private int count() {
            synchronized (mLines) {
                return mLines.size();
            }
        }

        private JsonNode last() throws IOException {
            synchronized (mLines) {
                return new ObjectMapper().readTree(mLines.get(mLines.size() - 1));
            }
        }

        /** Returns the total of dropped lines that the recorded lines report. */
        private int reportedDrops() throws IOException {
            synchronized (mLines) {
                int dropped = 0;
                for (String line : mLines) {
                    dropped += new ObjectMapper().readTree(line).path("lines_dropped").asInt();
                }
                return dropped;
            }
        }
    }

    private final ManualClock mClock = new ManualClock(Instant.EPOCH);

    @Test
    public void lineContainsTimeVmPartAndEvent() throws IOException {
        RecordingOutput output = new RecordingOutput(false);
        log(output).write(EventLog.Kind.LIFE, "started", line -> line.put("release", "1"));
        GatewayFixture.await(() -> output.count() == 1);
        assertEquals(output.last().path("at_ms").asLong(), mClock.millis());
        assertEquals(output.last().path("vm").asText(), "vm");
        assertEquals(output.last().path("part").asText(), "life");
        assertEquals(output.last().path("event").asText(), "started");
        assertEquals(output.last().path("release").asText(), "1");
    }

    /** Guards against a burst of one kind that consumes the processor or displaces other kinds. */
    @Test
    public void linesOverTheBudgetAreDroppedAndReported() throws IOException {
        RecordingOutput output = new RecordingOutput(false);
        EventLog log = log(output);
        for (int number = 0; number < 25; number++) {
            log.write(EventLog.Kind.DEPENDENCY, "flood", line -> {});
        }
        log.write(EventLog.Kind.LIFE, "other", line -> {});
        GatewayFixture.await(() -> output.count() == 21);
        assertEquals(output.last().path("event").asText(), "other");
        assertEquals(output.last().path("lines_dropped").asInt(), 5);
        mClock.advance(SECOND);
        log.write(EventLog.Kind.DEPENDENCY, "next", line -> {});
        GatewayFixture.await(() -> output.count() == 22);
        assertTrue(output.last().path("lines_dropped").isMissingNode());
    }

    /**
     * Guards against requests that block on the log: when the reader of the output stalls, the
     * queue fills and callers must not wait.
     */
    @Test
    public void stalledOutputDropsLinesWithoutBlockingCallers() throws IOException {
        RecordingOutput output = new RecordingOutput(true);
        EventLog log = log(output);
        int lines = 3_000;
        for (int number = 0; number < lines; number++) {
            mClock.advance(SECOND);
            log.write(EventLog.Kind.REQUEST, "request", line -> {});
        }
        output.mUnblocked.countDown();
        // The queue holds 1,000 lines, and the writer thread may hold one more.
        GatewayFixture.await(() -> output.count() >= 1_000);
        int before = output.count();
        mClock.advance(SECOND);
        log.write(EventLog.Kind.REQUEST, "after", line -> {});
        GatewayFixture.await(() -> output.count() > before);
        GatewayFixture.await(() -> lastEvent(output).equals("after"));
        int written = output.count();
        assertTrue(written <= 1_002, "lines written: " + written);
        // Each dropped line is reported by a later line.
        assertEquals(output.reportedDrops(), lines + 1 - written);
    }

    private static String lastEvent(RecordingOutput output) {
        try {
            return output.last().path("event").asText();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    private EventLog log(RecordingOutput output) {
        return new EventLog(mClock, "vm", new PrintStream(output));
    }
}
