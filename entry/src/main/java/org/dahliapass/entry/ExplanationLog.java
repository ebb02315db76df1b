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

/** A bounded log of the latest explanations of automatic actions, for operators. */
public final class ExplanationLog implements KernelService {
    /** The name under which the log is registered with the kernel. */
    public static final String NAME = "explanations";

    private static final ComponentLog LOG = ComponentLog.of("action");
    private static final int CAPACITY = 2000;

    private final Deque<Explanation> mEntries = new ArrayDeque<>();
    private final EntryMetrics mMetrics;

    ExplanationLog(EntryMetrics metrics) {
        mMetrics = metrics;
    }

    /** Adds an explanation and evicts the oldest one beyond the capacity. */
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

    /** Returns the matching explanations, oldest first. */
    public List<Explanation> find(Predicate<Explanation> filter) {
        synchronized (mEntries) {
            return mEntries.stream().filter(filter).toList();
        }
    }
}
