package org.dahliapass.entry;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.function.Predicate;
import org.dahliapass.kernel.ComponentLog;
import org.dahliapass.kernel.KernelService;
import org.dahliapass.model.explain.Explanation;
import org.dahliapass.traffic.EntryMetrics;

/** Keeps the newest explanations of what this VM did on its own, for operators. */
public final class ExplanationLog implements KernelService {
    /** The name under which the kernel holds the log. */
    public static final String NAME = "explanations";

    private static final ComponentLog LOG = ComponentLog.of("action");
    private static final int CAPACITY = 2000;

    private final Deque<Explanation> mEntries = new ArrayDeque<>();
    private final EntryMetrics mMetrics;

    ExplanationLog(EntryMetrics metrics) {
        mMetrics = metrics;
    }

    /** Keeps an explanation and forgets the oldest one beyond the capacity. */
    public void add(Explanation explanation) {
        synchronized (mEntries) {
            mEntries.addLast(explanation);
            if (mEntries.size() > CAPACITY) {
                mEntries.removeFirst();
            }
        }
        String action = explanation.action().name().toLowerCase(Locale.ROOT);
        mMetrics.onAction(action);
        LOG.info(action + " " + explanation.subject() + ": " + explanation.cause());
    }

    /** Returns the kept explanations that match, oldest first. */
    public List<Explanation> find(Predicate<Explanation> wanted) {
        synchronized (mEntries) {
            return mEntries.stream().filter(wanted).toList();
        }
    }
}
