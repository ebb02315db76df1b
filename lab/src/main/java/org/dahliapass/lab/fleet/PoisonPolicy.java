package org.dahliapass.lab.fleet;

import java.util.function.Consumer;
import org.dahliapass.decisions.poison.DigestLocks;
import org.dahliapass.decisions.poison.PoisonDetector;
import org.dahliapass.decisions.poison.SuspectReport;
import org.dahliapass.decisions.poison.TargetCrash;
import org.dahliapass.decisions.poison.Treatment;
import org.dahliapass.model.RequestDigest;

/** One VM's handling of poison requests; this base class suspects no request. */
class PoisonPolicy {
    /** Delay between a broken connection and the check whether its target crashed. */
    private static final long CRASH_CHECK_MILLIS = 2;

    /** Returns how a request may be run. */
    Treatment treatment(RequestDigest digest) {
        return Treatment.USUAL;
    }

    /**
     * Returns the locks that run suspected requests with equal digests one at a time.
     *
     * @throws IllegalStateException if this policy suspects no requests
     */
    DigestLocks digestLocks() {
        throw new IllegalStateException("A policy that suspects no requests has no digest locks.");
    }

    /**
     * Records that the connection to a target broke while a request was in flight.
     *
     * @param whenChecked runs once it is known whether the target crashed
     */
    void onConnectionBroken(
            FleetTarget target, TargetCrash crash, RequestDigest digest, Runnable whenChecked) {
        whenChecked.run();
    }

    /** Records that a target responded to a request. */
    void onResponse(RequestDigest digest) {}

    /** The policy that VMs use in production. */
    static final class Production extends PoisonPolicy {
        private static final int BROADCASTS = 3;
        private static final long REBROADCAST_MILLIS = 200;

        private final PoisonDetector mDetector = new PoisonDetector();
        private final DigestLocks mDigestLocks = new DigestLocks();
        private final EventScheduler mScheduler;
        private Consumer<SuspectReport> mReportSender;

        Production(EventScheduler scheduler) {
            mScheduler = scheduler;
        }

        /** Sets the callback that sends reports to all other VMs. */
        void setReportSender(Consumer<SuspectReport> sender) {
            mReportSender = sender;
        }

        @Override
        Treatment treatment(RequestDigest digest) {
            return mDetector.treatment(digest, mScheduler.nowMillis());
        }

        @Override
        DigestLocks digestLocks() {
            return mDigestLocks;
        }

        @Override
        void onConnectionBroken(
                FleetTarget target, TargetCrash crash, RequestDigest digest, Runnable whenChecked) {
            mScheduler.schedule(
                    CRASH_CHECK_MILLIS,
                    () -> {
                        if (target.isDown() && mDetector.onCrash(digest, crash, now())) {
                            broadcast(digest, BROADCASTS);
                        }
                        whenChecked.run();
                    });
        }

        @Override
        void onResponse(RequestDigest digest) {
            if (!mDetector.isEmpty() && mDetector.onAnswered(digest, now())) {
                broadcast(digest, BROADCASTS);
            }
        }

        /** Applies a report from another VM. */
        void onPeerReport(SuspectReport report) {
            if (mDetector.onPeerReport(report, now())) {
                broadcast(report.digest(), 1);
            }
        }

        private void broadcast(RequestDigest digest, int times) {
            mReportSender.accept(mDetector.report(digest, now()));
            if (times > 1) {
                mScheduler.schedule(REBROADCAST_MILLIS, () -> broadcast(digest, times - 1));
            }
        }

        private long now() {
            return mScheduler.nowMillis();
        }
    }
}
