package org.dahliapass.gateway;

import io.netty.channel.EventLoop;
import java.time.Clock;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Supplier;
import org.dahliapass.decisions.poison.DigestLocks;
import org.dahliapass.decisions.poison.PoisonDetector;
import org.dahliapass.decisions.poison.SuspectReport;
import org.dahliapass.decisions.poison.TargetCrash;
import org.dahliapass.decisions.poison.Treatment;
import org.dahliapass.decisions.reachability.ConnectionUse;
import org.dahliapass.decisions.reachability.ContactFailure;
import org.dahliapass.model.RequestDigest;
import org.dahliapass.platform.KeyValueStore;
import org.dahliapass.traffic.EntryMetrics;

/**
 * Keeps poison requests, which crash each target that runs them, away from the targets.
 *
 * <p>VMs report crashes to each other by datagrams; the store holds the quarantined requests.
 * Confined to the traffic thread.
 */
final class PoisonGuard {
    /**
     * The age of a quarantine after which a VM writes a missing store entry for it; until then it
     * is left to the VM that observed the last crash.
     */
    private static final long ENTRY_DELAY_MILLIS = 2_000;

    private final Clock mClock;
    private final EventLog mLog;
    private final EntryMetrics mMetrics;
    private final EventLoop mLoop;
    private final TargetLivenessCheck mLivenessCheck;
    private final TargetReachability mReachability;
    private final QuarantineStore mStore;
    private final PoisonDetector mDetector = new PoisonDetector();
    private final DigestLocks mDigestLocks = new DigestLocks();
    private final SuspectBroadcaster mBroadcaster;

    PoisonGuard(
            GatewaySettings settings,
            Clock clock,
            TargetConnections connections,
            KeyValueStore store,
            StoreFollower follower,
            PeerExchange exchange,
            EntryMetrics metrics,
            EventLog log) {
        mClock = clock;
        mLog = log;
        mMetrics = metrics;
        mLoop = connections.loop();
        mLivenessCheck = new TargetLivenessCheck(connections);
        mReachability = connections.reachability();
        mStore = new QuarantineStore(store, mLoop, clock, settings.self().name(), log);
        mBroadcaster =
                new SuspectBroadcaster(
                        mLoop,
                        digests ->
                                exchange.sendSuspects(
                                        digests.stream()
                                                .map(
                                                        suspect ->
                                                                mDetector.report(
                                                                        suspect, mClock.millis()))
                                                .toList()));
        exchange.setSuspectListener(reports -> mLoop.execute(() -> onPeerReports(reports)));
        follower.setQuarantineListener(digest -> mLoop.execute(() -> onEntry(digest)));
    }

    /**
     * Returns how a request may be treated.
     *
     * @param digest computes the request's digest; not called while no request is suspected
     */
    Treatment treatment(Supplier<RequestDigest> digest) {
        return mDetector.isEmpty()
                ? Treatment.USUAL
                : mDetector.treatment(digest.get(), mClock.millis());
    }

    /** Returns the locks that serialize suspected requests with the same digest. */
    DigestLocks digestLocks() {
        return mDigestLocks;
    }

    /**
     * Records that a quarantined request was refused.
     *
     * @return the remaining time of the quarantine, in milliseconds
     */
    long onRefused(RequestDigest digest) {
        mMetrics.onPoisonEvent("refused");
        long now = mClock.millis();
        long remainingMillis = mDetector.quarantineRemainingMillis(digest, now);
        if (remainingMillis < PoisonDetector.RETENTION.toMillis() - ENTRY_DELAY_MILLIS) {
            writeEntry(digest);
        }
        return remainingMillis;
    }

    /**
     * Checks whether a target crashed after its connection broke during an attempt.
     *
     * <p>A target that doesn't listen has crashed only if this VM reaches others.
     *
     * @param attempt the attempt
     * @param digest the digest of the request
     * @param whenChecked runs when the check is complete
     */
    void onConnectionBroken(TargetAttempt attempt, RequestDigest digest, Runnable whenChecked) {
        TargetCrash crash =
                new TargetCrash(
                        attempt.instance().incarnation(), attempt.startedMillis(), mClock.millis());
        mLivenessCheck.check(
                attempt.target(),
                isGone -> {
                    if (!isGone) {
                        onChecked(attempt, digest, crash, false);
                        whenChecked.run();
                        return;
                    }
                    mReachability.onFailure(
                            attempt.target(),
                            ContactFailure.NOT_CONNECTED,
                            ConnectionUse.NEW,
                            crash.crashedMillis());
                    mReachability.whenKnown(
                            isReached -> {
                                onChecked(attempt, digest, crash, isReached);
                                whenChecked.run();
                            });
                });
    }

    private void onChecked(
            TargetAttempt attempt, RequestDigest digest, TargetCrash crash, boolean hasCrashed) {
        mLog.write(
                EventLog.Kind.BELIEF,
                "connection_broken",
                line ->
                        line.put("instance", attempt.instance().name())
                                .put("target", attempt.target().toString())
                                .put("target_ended", hasCrashed)
                                .put("leaving", attempt.isTargetLeaving())
                                .put("digest", digest.hex()));
        // A leaving target exits by itself.
        if (!hasCrashed || attempt.isTargetLeaving()) {
            return;
        }
        mMetrics.onPoisonEvent("target_ended");
        long now = mClock.millis();
        Treatment previous = mDetector.treatment(digest, now);
        if (!mDetector.onCrash(digest, crash, now)) {
            return;
        }
        mBroadcaster.broadcast(digest);
        logTreatmentChange(digest, previous, "this VM");
        if (mDetector.treatment(digest, now) == Treatment.QUARANTINED) {
            writeEntry(digest);
        }
    }

    private void writeEntry(RequestDigest digest) {
        mStore.ensureEntry(digest, mDetector.report(digest, mClock.millis()).crashes().size());
    }

    /**
     * Records that a target responded to a request.
     *
     * @param digest computes the request's digest; not called while no request is suspected
     */
    void onResponse(Supplier<RequestDigest> digest) {
        if (mDetector.isEmpty()) {
            return;
        }
        Treatment previous = mDetector.treatment(digest.get(), mClock.millis());
        if (mDetector.onAnswered(digest.get(), mClock.millis())) {
            mStore.removeEntry(digest.get());
            mBroadcaster.broadcast(digest.get());
            logTreatmentChange(digest.get(), previous, "this VM");
        }
    }

    private void onPeerReports(List<SuspectReport> reports) {
        long now = mClock.millis();
        for (SuspectReport report : reports) {
            Treatment previous = mDetector.treatment(report.digest(), now);
            if (mDetector.onPeerReport(report, now)) {
                mBroadcaster.resend(report.digest());
            }
            if (report.answered()) {
                mStore.removeEntry(report.digest());
            }
            logTreatmentChange(report.digest(), previous, "another VM");
        }
    }

    /**
     * Forgets the entries that a restored store lacks, so that they are written again when their
     * requests are refused; any thread may call this.
     *
     * @param keys the keys of the entries that the store holds
     */
    void onStoreRestored(Set<String> keys) {
        mLoop.execute(() -> mStore.retainEntries(keys));
    }

    private void onEntry(RequestDigest digest) {
        long now = mClock.millis();
        Treatment previous = mDetector.treatment(digest, now);
        mStore.onEntry(digest);
        mDetector.onQuarantined(digest, now);
        logTreatmentChange(digest, previous, "the store");
    }

    private void logTreatmentChange(RequestDigest digest, Treatment previous, String source) {
        long now = mClock.millis();
        Treatment current = mDetector.treatment(digest, now);
        if (current == previous) {
            return;
        }
        mMetrics.onPoisonEvent(current.name().toLowerCase(Locale.ROOT));
        mLog.write(
                EventLog.Kind.BELIEF,
                "request_treatment",
                line ->
                        line.put("digest", digest.hex())
                                .put("treatment", current.name())
                                .put("before", previous.name())
                                .put("known_by", source)
                                .putList(
                                        "targets_ended",
                                        mDetector.report(digest, now).crashes().stream()
                                                .map(TargetCrash::incarnation)
                                                .toList()));
    }
}
