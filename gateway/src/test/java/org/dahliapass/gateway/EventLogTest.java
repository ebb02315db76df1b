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

    /** Each write stands for a line; a reader that stalls holds up every write. */
    private static final class Reader extends OutputStream {
        private final CountDownLatch mReads;
        private final List<String> mLines = new ArrayList<>();

        private Reader(boolean stalled) {
            mReads = new CountDownLatch(stalled ? 1 : 0);
        }

        @Override
        public void write(int one) throws IOException {
            throw new IOException("Lines are written whole.");
        }

        @Override
        public void write(byte[] bytes, int from, int length) throws IOException {
            try {
                mReads.await();
            } catch (InterruptedException failure) {
                Thread.currentThread().interrupt();
                throw new IOException(failure);
            }
            synchronized (mLines) {
                mLines.add(new String(bytes, from, length, StandardCharsets.UTF_8));
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

        /** Returns how many lines all lines together tell to be dropped. */
        private int toldDropped() throws IOException {
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
    public void lineNamesTimeVmPartAndEvent() throws IOException {
        Reader reader = new Reader(false);
        log(reader).write(EventLog.Kind.LIFE, "started", line -> line.put("release", "1"));
        GatewayFixture.await(() -> reader.count() == 1);
        assertEquals(reader.last().path("at_ms").asLong(), mClock.millis());
        assertEquals(reader.last().path("vm").asText(), "vm");
        assertEquals(reader.last().path("part").asText(), "life");
        assertEquals(reader.last().path("event").asText(), "started");
        assertEquals(reader.last().path("release").asText(), "1");
    }

    /** A flood of failures must cost neither the processor nor the lines of other kinds. */
    @Test
    public void linesBeyondTheBudgetOfASecondAreCountedAndTold() throws IOException {
        Reader reader = new Reader(false);
        EventLog log = log(reader);
        for (int number = 0; number < 25; number++) {
            log.write(EventLog.Kind.DEPENDENCY, "flood", line -> {});
        }
        log.write(EventLog.Kind.LIFE, "other", line -> {});
        GatewayFixture.await(() -> reader.count() == 21);
        assertEquals(reader.last().path("event").asText(), "other");
        assertEquals(reader.last().path("lines_dropped").asInt(), 5);
        mClock.advance(SECOND);
        log.write(EventLog.Kind.DEPENDENCY, "next", line -> {});
        GatewayFixture.await(() -> reader.count() == 22);
        assertTrue(reader.last().path("lines_dropped").isMissingNode());
    }

    /**
     * Requests would stand still with the log. The pipe's reader stalls, the writing thread blocks
     * in its first line, and the lines that follow fill the queue; writers never wait.
     */
    @Test
    public void stalledReaderHoldsUpNobodyAndLosesOnlyWhatDoesNotFit() throws IOException {
        Reader reader = new Reader(true);
        EventLog log = log(reader);
        int lines = 3_000;
        for (int number = 0; number < lines; number++) {
            mClock.advance(SECOND);
            log.write(EventLog.Kind.REQUEST, "request", line -> {});
        }
        reader.mReads.countDown();
        // The queue holds 1,000 lines, and the writing thread may hold one more.
        GatewayFixture.await(() -> reader.count() >= 1_000);
        int before = reader.count();
        mClock.advance(SECOND);
        log.write(EventLog.Kind.REQUEST, "after", line -> {});
        GatewayFixture.await(() -> reader.count() > before);
        GatewayFixture.await(() -> lastEvent(reader).equals("after"));
        int written = reader.count();
        assertTrue(written <= 1_002, "lines written: " + written);
        // A line that found room while others were lost tells of those before it; none goes untold.
        assertEquals(reader.toldDropped(), lines + 1 - written);
    }

    private static String lastEvent(Reader reader) {
        try {
            return reader.last().path("event").asText();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    private EventLog log(Reader reader) {
        return new EventLog(mClock, "vm", new PrintStream(reader));
    }
}
