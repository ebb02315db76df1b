package org.dahliapass.gateway;

import java.time.Clock;
import java.util.Locale;
import java.util.OptionalLong;
import org.dahliapass.decisions.reachability.ConnectionUse;
import org.dahliapass.decisions.reachability.ContactFailure;
import org.dahliapass.decisions.reachability.ContactSummary;
import org.dahliapass.decisions.reachability.TargetContacts;
import org.dahliapass.kernel.JsonObject;
import org.dahliapass.model.Endpoint;
import org.dahliapass.traffic.EntryMetrics;

/** Logs and counts which targets this VM reaches. Confined to the traffic thread. */
final class TargetReachability {
    private static final long SUMMARY_INTERVAL_MILLIS = 1_000;

    private final Clock mClock;
    private final EntryMetrics mMetrics;
    private final EventLog mLog;
    private final TargetContacts mContacts = new TargetContacts();
    private long mSummaryMillis;

    TargetReachability(Clock clock, EntryMetrics metrics, EventLog log) {
        mClock = clock;
        mMetrics = metrics;
        mLog = log;
    }

    /** Records that a target responded, or accepted a connection. */
    void onReached(Endpoint target) {
        mContacts
                .onReached(target, mClock.millis())
                .ifPresent(change -> log("target_reached_again", target, change));
        logSummary();
    }

    /** Records that an attempt ended without a response. */
    void onFailure(Endpoint target, ContactFailure failure, ConnectionUse connection) {
        mMetrics.onContactFailure(text(failure), text(connection));
        mContacts
                .onFailure(target, failure, connection, mClock.millis())
                .ifPresent(change -> log("target_lost", target, change));
        logSummary();
    }

    /** Records that a target responded to a request that another VM sent at the given time. */
    void onPeerReached(Endpoint target, long sentMillis) {
        mContacts.onPeerReached(target, sentMillis);
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
