package org.dahliapass.gateway;

import io.netty.util.concurrent.ScheduledFuture;
import java.time.Clock;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.dahliapass.decisions.reachability.ConnectionUse;
import org.dahliapass.decisions.reachability.ContactFailure;
import org.dahliapass.decisions.reachability.ContactSummary;
import org.dahliapass.decisions.reachability.Reachability;
import org.dahliapass.decisions.reachability.ReachabilityDetector;
import org.dahliapass.decisions.reachability.TargetContacts;
import org.dahliapass.http.HttpClient;
import org.dahliapass.kernel.Futures;
import org.dahliapass.kernel.JsonObject;
import org.dahliapass.model.Endpoint;
import org.dahliapass.traffic.EntryMetrics;

/**
 * Finds out whether this VM reaches the targets, by the attempts of its requests and, when these
 * raise a suspicion, by opening connections to a few targets at random.
 *
 * <p>Confined to the traffic thread unless a method says otherwise.
 */
final class TargetReachability {
    private static final long SUMMARY_INTERVAL_MILLIS = 1_000;

    /** The interval at which connections are opened while no target is reached. */
    private static final long CHECK_INTERVAL_MILLIS = 250;

    /** The draws after which targets that were lost before are checked, too. */
    private static final int MAX_DRAWS = 24;

    /** More failures than a service reports until a suspicion is resolved. */
    private static final int MAX_HELD_REPORTS = 64;

    private final Clock mClock;
    private final EntryMetrics mMetrics;
    private final EventLog mLog;
    private final HttpClient mClient;
    private final UnexpectedFailures mFailures;
    private final TargetContacts mContacts = new TargetContacts();
    private final ReachabilityDetector mDetector = new ReachabilityDetector();
    private final Queue<Runnable> mHeldReports = new ArrayDeque<>();
    private final Queue<Consumer<Boolean>> mWaiting = new ArrayDeque<>();
    private final List<Runnable> mPartitionListeners = new ArrayList<>();
    private Supplier<Optional<Endpoint>> mRandomTarget = Optional::empty;
    private boolean mIsChecking;
    private long mSummaryMillis;
    private long mStateSinceMillis;

    /** The state of the detector as of the last event, for other threads. */
    private volatile Reachability mState = Reachability.REACHED;

    private volatile long mPartitionEndMillis = Long.MIN_VALUE / 2;

    TargetReachability(
            Clock clock,
            EntryMetrics metrics,
            EventLog log,
            HttpClient client,
            UnexpectedFailures failures) {
        mFailures = failures;
        mClock = clock;
        mMetrics = metrics;
        mLog = log;
        mClient = client;
        mStateSinceMillis = clock.millis();
    }

    /**
     * Sets the source of targets to check, which is called on the traffic thread; to be called
     * during the start.
     *
     * @param randomTarget returns a target at random; empty if there is none
     */
    void setTargets(Supplier<Optional<Endpoint>> randomTarget) {
        mRandomTarget = randomTarget;
    }

    /**
     * Adds a listener that is called on the traffic thread when no target is reached any more; to
     * be called during the start.
     */
    void addPartitionListener(Runnable listener) {
        mPartitionListeners.add(listener);
    }

    /** Returns whether this VM reaches no target; any thread may call this. */
    boolean isPartitioned() {
        return mState == Reachability.PARTITIONED;
    }

    /** Returns whether nothing suggests a partition; any thread may call this. */
    boolean isReached() {
        return mState == Reachability.REACHED;
    }

    /** Returns the time since this VM last reached no target; any thread may call this. */
    long sincePartitionMillis() {
        return isPartitioned() ? 0 : mClock.millis() - mPartitionEndMillis;
    }

    /** Records that a connection to a target was opened. */
    void onConnected(Endpoint target) {
        recordReached(target);
        mDetector.onConnected(mClock.millis());
        update();
    }

    /**
     * Records that a request was written.
     *
     * @param attempt identifies the attempt
     */
    void onSent(Object attempt, Endpoint target) {
        mDetector.onSent(attempt, target, mClock.millis());
    }

    /** Records the head of a response to an attempt. */
    void onResponse(Object attempt, Endpoint target) {
        recordReached(target);
        mDetector.onResponse(attempt, mClock.millis());
    }

    /** Records the end of an attempt, whatever its outcome. */
    void onEnded(Object attempt) {
        mDetector.onEnded(attempt);
    }

    /**
     * Records that an attempt ended without a response.
     *
     * @param startedMillis when the attempt began, in milliseconds
     */
    void onFailure(
            Endpoint target, ContactFailure failure, ConnectionUse connection, long startedMillis) {
        mMetrics.onContactFailure(text(failure), text(connection));
        mContacts
                .onFailure(target, failure, connection, mClock.millis())
                .ifPresent(change -> log("target_lost", target, change));
        logSummary();
        switch (failure) {
            case NOT_CONNECTED -> mDetector.onNotConnected(target, startedMillis);
            case BROKEN -> mDetector.onBroken(target);
            case SILENT -> mDetector.onTick(mClock.millis());
        }
        update();
    }

    /** Records that a target responded to a request that another VM sent at the given time. */
    void onPeerReached(Endpoint target, long sentMillis) {
        mContacts.onPeerReached(target, sentMillis);
    }

    /** Looks for silent targets; to be called periodically while requests are in flight. */
    void onTick() {
        mDetector.onTick(mClock.millis());
        update();
    }

    /** Checks whether this VM reaches the targets, before it serves the first callers. */
    void check() {
        mDetector.suspect();
        update();
    }

    /**
     * Runs a report of an attempt without a response, once it is known that this VM reaches the
     * targets; any thread may call this.
     *
     * <p>Guards against a partitioned VM that distrusts targets, and makes the others distrust
     * them, although they serve the others.
     */
    void reportFailure(Runnable report) {
        if (mClient.loop().inEventLoop()) {
            runOrHold(report);
        } else {
            mClient.loop().execute(() -> runOrHold(report));
        }
    }

    private void runOrHold(Runnable report) {
        if (mDetector.state() == Reachability.REACHED) {
            report.run();
        } else if (mHeldReports.size() < MAX_HELD_REPORTS) {
            mHeldReports.add(report);
        }
        update();
    }

    /** Calls a listener with whether this VM reaches the targets, once this is known. */
    void whenKnown(Consumer<Boolean> listener) {
        mWaiting.add(listener);
        update();
    }

    private void recordReached(Endpoint target) {
        mContacts
                .onReached(target, mClock.millis())
                .ifPresent(change -> log("target_reached_again", target, change));
        logSummary();
    }

    /** Acts on the state of the detector. */
    private void update() {
        Reachability state = mDetector.state();
        if (state != mState) {
            setState(state);
        }
        if (state == Reachability.SUSPECTED) {
            startChecks();
            return;
        }
        boolean isReached = state == Reachability.REACHED;
        List<Runnable> reports = isReached ? List.copyOf(mHeldReports) : List.of();
        List<Consumer<Boolean>> waiting = List.copyOf(mWaiting);
        mHeldReports.clear();
        mWaiting.clear();
        reports.forEach(this::isolate);
        waiting.forEach(listener -> isolate(() -> listener.accept(isReached)));
        if (!isReached) {
            startChecks();
        }
    }

    private void isolate(Runnable listener) {
        mFailures.run(UnexpectedFailures.Step.TIMER, listener);
    }

    private void setState(Reachability state) {
        Reachability previous = mState;
        long now = mClock.millis();
        long ageMillis = now - mStateSinceMillis;
        mStateSinceMillis = now;
        if (previous == Reachability.PARTITIONED) {
            // Before the state, which other threads read first.
            mPartitionEndMillis = now;
        }
        mState = state;
        mMetrics.onPartitioned(state == Reachability.PARTITIONED);
        if (state == Reachability.PARTITIONED) {
            logState("targets_partitioned", ageMillis);
            mPartitionListeners.forEach(this::isolate);
        } else if (previous == Reachability.PARTITIONED) {
            logState("targets_reached", ageMillis);
        }
    }

    /**
     * Logs a change of the state.
     *
     * @param ageMillis how long the previous state lasted, in milliseconds
     */
    private void logState(String event, long ageMillis) {
        ContactSummary summary = mContacts.summary(mClock.millis());
        mLog.write(
                EventLog.Kind.DEPENDENCY,
                event,
                line ->
                        line.put("after_ms", ageMillis)
                                .put("targets", summary.targets())
                                .put("lost", summary.lost())
                                .put("answered_elsewhere", summary.answeredElsewhere()));
    }

    /** Opens connections to targets at random, unless some are being opened. */
    private void startChecks() {
        if (mIsChecking) {
            return;
        }
        Set<Endpoint> targets = targetsToCheck();
        if (targets.isEmpty()) {
            mDetector.onNothingToCheck();
            update();
            return;
        }
        mIsChecking = true;
        long startedMillis = mClock.millis();
        List<Endpoint> open = new ArrayList<>(targets);
        for (Endpoint target : targets) {
            Futures.whenDone(
                    mClient.isListening(target),
                    (listening, failure) -> {
                        open.remove(target);
                        if (failure == null) {
                            mFailures.run(
                                    UnexpectedFailures.Step.TIMER,
                                    () -> onChecked(target, listening, startedMillis));
                        }
                        if (open.isEmpty()) {
                            onChecksEnded();
                        }
                    });
        }
    }

    private void onChecked(Endpoint target, boolean listening, long startedMillis) {
        if (listening) {
            onConnected(target);
        } else {
            onFailure(target, ContactFailure.NOT_CONNECTED, ConnectionUse.NEW, startedMillis);
        }
    }

    private void onChecksEnded() {
        if (mDetector.state() == Reachability.REACHED) {
            mIsChecking = false;
            return;
        }
        ScheduledFuture<?> unused =
                mClient.loop()
                        .schedule(
                                () -> {
                                    mIsChecking = false;
                                    update();
                                },
                                CHECK_INTERVAL_MILLIS,
                                TimeUnit.MILLISECONDS);
    }

    /** Draws targets at random, preferably those that were not lost before. */
    private Set<Endpoint> targetsToCheck() {
        boolean isPartitioned = mDetector.state() == Reachability.PARTITIONED;
        int count = isPartitioned ? 1 : mDetector.missingFailures();
        Set<Endpoint> chosen = new LinkedHashSet<>();
        Set<Endpoint> lost = new LinkedHashSet<>();
        for (int draw = 0; draw < MAX_DRAWS && chosen.size() < count; draw++) {
            Optional<Endpoint> target = mRandomTarget.get();
            if (target.isEmpty()) {
                break;
            }
            if (isPartitioned || !mDetector.hasFailed(target.get())) {
                boolean isLost = mContacts.isLost(target.get());
                (isLost ? lost : chosen).add(target.get());
            }
        }
        for (Endpoint target : lost) {
            if (chosen.size() < count) {
                chosen.add(target);
            }
        }
        return chosen;
    }

    private void log(String event, Endpoint target, TargetContacts.Change change) {
        mLog.write(
                EventLog.Kind.BELIEF,
                event,
                line -> {
                    line.put("target", target.toString())
                            .put("failure", text(change.failure()))
                            .put("connection", text(change.connection()))
                            .put("lost_ms", change.lostMillis());
                    putIfPresent(line, "reached_ms_ago", change.reachedAgoMillis());
                    putIfPresent(line, "others_reached_ms_ago", change.peerReachedAgoMillis());
                });
    }

    private static void putIfPresent(JsonObject line, String field, OptionalLong value) {
        value.ifPresent(present -> line.put(field, present));
    }

    private static String text(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }

    /** Logs how many targets are lost, at most once a second. */
    private void logSummary() {
        long now = mClock.millis();
        if (now - mSummaryMillis < SUMMARY_INTERVAL_MILLIS) {
            return;
        }
        mSummaryMillis = now;
        ContactSummary summary = mContacts.summary(now);
        mMetrics.onLostTargets(summary.lost());
        if (summary.lost() == 0) {
            return;
        }
        mLog.write(
                EventLog.Kind.LOAD,
                "targets_lost",
                line ->
                        line.put("targets", summary.targets())
                                .put("lost", summary.lost())
                                .put("lost_on_new", summary.lostOnNew())
                                .put("lost_on_open", summary.lostOnOpen())
                                .put("answered_elsewhere", summary.answeredElsewhere())
                                .put("lost_ms", summary.lostMillis()));
    }
}
