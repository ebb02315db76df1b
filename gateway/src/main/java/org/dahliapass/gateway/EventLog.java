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
 * Writes one JSON object a line for each decision, without ever holding up who logs.
 *
 * <p>Lines wait in a bounded queue for one writing thread. Guards against a reader of the output
 * that stalls: the pipe fills, the writing thread blocks, and the queue drops what doesn't fit
 * instead of blocking a request. What was dropped is counted and told in a later line. Each kind of
 * line has a budget a second, so that a flood of one kind neither costs the processor nor pushes
 * out the others.
 */
public final class EventLog {
    /** Lines that may wait; at 300 bytes each about 300 KB. */
    private static final int QUEUE_LINES = 1_000;

    private static final long SECOND_MILLIS = 1_000;

    private final Clock mClock;
    private final String mVm;
    private final PrintStream mOutput;
    private final BlockingQueue<JsonObject> mQueue = new ArrayBlockingQueue<>(QUEUE_LINES);
    private final Map<Kind, Integer> mWritten = new EnumMap<>(Kind.class);
    private long mSecond;
    private long mDropped;

    /** The kinds of lines, each with the most lines that it may have in a second. */
    public enum Kind {
        /** The process starts, stops or reads its settings again. */
        LIFE(50),
        /** A dependency was lost or is back. */
        DEPENDENCY(20),
        /** What the VM carries, and which of its resources is short. */
        LOAD(2),
        /** What the VM believes of configuration, targets or fellow VMs has changed. */
        BELIEF(200),
        /** How one request was decided on and how it ended. */
        REQUEST(200);

        private final int mLinesPerSecond;

        Kind(int linesPerSecond) {
            mLinesPerSecond = linesPerSecond;
        }
    }

    /**
     * Starts the writing thread.
     *
     * @param vm the name of this VM, which stands in each line
     * @param output where lines go; may block
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
     * Writes a line, unless its kind's budget or the queue is used up.
     *
     * @param event what happened, as a short name
     * @param fields adds the inputs and the outcome; not called for a line that is dropped
     */
    public void write(Kind kind, String event, Consumer<JsonObject> fields) {
        long now = mClock.millis();
        long dropped;
        synchronized (this) {
            if (!takeBudget(kind, now)) {
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

    private boolean takeBudget(Kind kind, long now) {
        if (now / SECOND_MILLIS != mSecond) {
            mSecond = now / SECOND_MILLIS;
            mWritten.clear();
        }
        return mWritten.merge(kind, 1, Integer::sum) <= kind.mLinesPerSecond;
    }

    private void writeAll() {
        try {
            while (true) {
                byte[] line = (mQueue.take() + "\n").getBytes(StandardCharsets.UTF_8);
                mOutput.write(line, 0, line.length);
                mOutput.flush();
            }
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }
}
