package org.dahliapass.gateway;

import io.netty.channel.EventLoop;
import java.time.Clock;
import java.util.List;
import java.util.Locale;
import java.util.function.Supplier;
import org.dahliapass.decisions.poison.DigestLocks;
import org.dahliapass.decisions.poison.PoisonDetector;
import org.dahliapass.decisions.poison.SuspectReport;
import org.dahliapass.decisions.poison.TargetCrash;
import org.dahliapass.decisions.poison.Treatment;
import org.dahliapass.model.RequestDigest;
import org.dahliapass.platform.KeyValueStore;
import org.dahliapass.traffic.EntryMetrics;

/**
 * Keeps requests from the targets that end each target which runs them.
 *
 * <p>VMs tell each other of ends by datagrams, and the store keeps what is quarantined. All state
 * belongs to the traffic thread.
 */
final class PoisonGuard {
    /**
     * A VM that only heard of a quarantine leaves its entry to the one that saw the last end,
     * unless there is none after this time.
     */
    private static final long LATE_ENTRY_MILLIS = 2_000;

    private final Clock mClock;
    private final EventLog mLog;
    private final EntryMetrics mMetrics;
    private final EventLoop mLoop;
    private final TargetLivenessCheck mCheck;
    private final QuarantineStore mStore;
    private final PoisonDetector mRegister = new PoisonDetector();
    private final DigestLocks mTurns = new DigestLocks();
    private final SuspectBroadcaster mNews;

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
        mCheck = new TargetLivenessCheck(connections);
        mStore = new QuarantineStore(store, mLoop, clock, settings.self().name(), log);
        mNews =
                new SuspectBroadcaster(
                        mLoop,
                        digests ->
                                exchange.sendSuspects(
                                        digests.stream()
                                                .map(one -> mRegister.report(one, mClock.millis()))
                                                .toList()));
        exchange.setSuspectListener(news -> mLoop.execute(() -> onNews(news)));
        follower.setQuarantineListener(digest -> mLoop.execute(() -> onEntry(digest)));
    }

    /**
     * Returns what may be done with a request.
     *
     * @param digest digests the request, which is saved while none is suspected
     */
    Treatment treatment(Supplier<RequestDigest> digest) {
        return mRegister.isEmpty()
                ? Treatment.USUAL
                : mRegister.treatment(digest.get(), mClock.millis());
    }

    /** Returns whose turn it is among suspected requests that are alike. */
    DigestLocks turns() {
        return mTurns;
    }

    /** Takes that a quarantined request was refused; returns when it may come back. */
    long onRefused(RequestDigest digest) {
        mMetrics.onPoisonEvent("refused");
        long now = mClock.millis();
        long left = mRegister.quarantineRemainingMillis(digest, now);
        if (left < PoisonDetector.RETENTION.toMillis() - LATE_ENTRY_MILLIS) {
            writeEntry(digest);
        }
        return left;
    }

    /**
     * Takes that the connection to a target broke while it had a request.
     *
     * @param offer by which the target had it
     * @param digest the request
     * @param whenChecked runs once it is known whether the target has ended
     */
    void onConnectionBroken(TargetAttempt offer, RequestDigest digest, Runnable whenChecked) {
        TargetCrash end =
                new TargetCrash(
                        offer.instance().incarnation(), offer.sentMillis(), mClock.millis());
        mCheck.check(
                offer.target(),
                ended -> {
                    onChecked(offer, digest, end, ended);
                    whenChecked.run();
                });
    }

    private void onChecked(
            TargetAttempt offer, RequestDigest digest, TargetCrash end, boolean ended) {
        mLog.write(
                EventLog.Kind.BELIEF,
                "connection_broken",
                line ->
                        line.put("instance", offer.instance().name())
                                .put("target", offer.target().toString())
                                .put("target_ended", ended)
                                .put("leaving", offer.isTargetDraining())
                                .put("digest", digest.hex()));
        // A target that said that it leaves ends by itself.
        if (!ended || offer.isTargetDraining()) {
            return;
        }
        mMetrics.onPoisonEvent("target_ended");
        long now = mClock.millis();
        Treatment before = mRegister.treatment(digest, now);
        if (!mRegister.onCrash(digest, end, now)) {
            return;
        }
        mNews.broadcast(digest);
        tellOfChange(digest, before, "this VM");
        if (mRegister.treatment(digest, now) == Treatment.QUARANTINED) {
            writeEntry(digest);
        }
    }

    private void writeEntry(RequestDigest digest) {
        mStore.ensureEntry(digest, mRegister.report(digest, mClock.millis()).crashes().size());
    }

    /**
     * Takes that a target answered a request.
     *
     * @param digest digests the request, which is saved while none is suspected
     */
    void onResponse(Supplier<RequestDigest> digest) {
        if (mRegister.isEmpty()) {
            return;
        }
        Treatment before = mRegister.treatment(digest.get(), mClock.millis());
        if (mRegister.onAnswered(digest.get(), mClock.millis())) {
            mStore.removeEntry(digest.get());
            mNews.broadcast(digest.get());
            tellOfChange(digest.get(), before, "this VM");
        }
    }

    private void onNews(List<SuspectReport> news) {
        long now = mClock.millis();
        for (SuspectReport one : news) {
            Treatment before = mRegister.treatment(one.digest(), now);
            if (mRegister.onPeerReport(one, now)) {
                mNews.resend(one.digest());
            }
            if (one.answered()) {
                mStore.removeEntry(one.digest());
            }
            tellOfChange(one.digest(), before, "another VM");
        }
    }

    private void onEntry(RequestDigest digest) {
        long now = mClock.millis();
        Treatment before = mRegister.treatment(digest, now);
        mStore.onEntry(digest);
        mRegister.onQuarantined(digest, now);
        tellOfChange(digest, before, "the store");
    }

    private void tellOfChange(RequestDigest digest, Treatment before, String source) {
        long now = mClock.millis();
        Treatment after = mRegister.treatment(digest, now);
        if (after == before) {
            return;
        }
        mMetrics.onPoisonEvent(after.name().toLowerCase(Locale.ROOT));
        mLog.write(
                EventLog.Kind.BELIEF,
                "request_treatment",
                line ->
                        line.put("digest", digest.hex())
                                .put("treatment", after.name())
                                .put("before", before.name())
                                .put("known_by", source)
                                .putList(
                                        "targets_ended",
                                        mRegister.report(digest, now).crashes().stream()
                                                .map(TargetCrash::incarnation)
                                                .toList()));
    }
}
