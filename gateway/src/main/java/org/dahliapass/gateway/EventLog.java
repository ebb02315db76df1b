package org.dahliapass.gateway;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.function.Consumer;
import org.dahliapass.kernel.JsonObject;

/**
 * A log of decisions with one JSON object per line, which never blocks its callers.
 *
 * <p>A bounded queue feeds one writer thread. If the reader of the output stalls, the writer blocks
 * and the queue drops further lines instead of delaying requests; the number of dropped lines is
 * part of a later line. Each kind of line has a budget per second, so that a burst of one kind
 * neither consumes the processor nor displaces the other kinds.
 *
 * <p>Thread-safe.
 */
public final class EventLog {
    /** About 300 KB at 300 bytes per line. */
    private static final int MAX_QUEUED_LINES = 1_000;

    private static final long SECOND_MILLIS = 1_000;

    private final Clock mClock;
    private final String mVm;
    private final PrintStream mOutput;
    private final BlockingQueue<JsonObject> mQueue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private final Map<Kind, Integer> mLinesThisSecond = new EnumMap<>(Kind.class);
    private long mCurrentSecond;
    private long mDropped;

    /** The kinds of lines, each with its maximum number of lines per second. */
    public enum Kind {
        /** The process starts, stops or reloads its settings. */
        LIFE(50),
        /** A dependency fails or recovers. */
        DEPENDENCY(20),
        /** The load of the VM and its resources. */
        LOAD(2),
        /** The known state of the configuration, the targets or the VMs changes. */
        BELIEF(200),
        /** The decisions on one request and its outcome. */
        REQUEST(200),
        /** Unexpected exceptions of this program. */
        FAILURE(10);

        private final int mLinesPerSecond;

        Kind(int linesPerSecond) {
            mLinesPerSecond = linesPerSecond;
        }
    }

    /**
     * Starts the writer thread.
     *
     * @param vm the name of this VM, which is part of each line
     * @param output the destination of the lines; may block
     */
    public EventLog(Clock clock, String vm, PrintStream output) {
        mClock = clock;
        mVm = vm;
        mOutput = output;
        Thread writer = new Thread(this::writeAll, "log");
        writer.setDaemon(true);
        writer.start();
    }

    /**
     * Writes a line, unless the budget of its kind or the queue is exhausted.
     *
     * @param event the short name of the event
     * @param fields adds the inputs and the outcome; not called for a line over the budget
     */
    public void write(Kind kind, String event, Consumer<JsonObject> fields) {
        long now = mClock.millis();
        long dropped;
        synchronized (this) {
            if (!tryAcquire(kind, now)) {
                mDropped++;
                return;
            }
            dropped = mDropped;
            mDropped = 0;
        }
        JsonObject line = new JsonObject();
        line.put("at_ms", now).put("vm", mVm).put("part", kind.name().toLowerCase(Locale.ROOT));
        line.put("event", event);
        fields.accept(line);
        if (dropped > 0) {
            line.put("lines_dropped", dropped);
        }
        if (!mQueue.offer(line)) {
            addDropped(dropped + 1);
        }
    }

    private synchronized void addDropped(long lines) {
        mDropped += lines;
    }

    private boolean tryAcquire(Kind kind, long now) {
        if (now / SECOND_MILLIS != mCurrentSecond) {
            mCurrentSecond = now / SECOND_MILLIS;
            mLinesThisSecond.clear();
        }
        return mLinesThisSecond.merge(kind, 1, Integer::sum) <= kind.mLinesPerSecond;
    }

    private void writeAll() {
        try {
            while (true) {
                byte[] line = (mQueue.take() + "\n").getBytes(StandardCharsets.UTF_8);
                mOutput.write(line, 0, line.length);
                mOutput.flush();
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
