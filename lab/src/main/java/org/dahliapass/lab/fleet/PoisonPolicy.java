package org.dahliapass.lab.fleet;

import java.util.function.Consumer;
import org.dahliapass.decisions.poison.DigestLocks;
import org.dahliapass.decisions.poison.PoisonDetector;
import org.dahliapass.decisions.poison.SuspectReport;
import org.dahliapass.decisions.poison.TargetCrash;
import org.dahliapass.decisions.poison.Treatment;
import org.dahliapass.model.RequestDigest;

/** What one VM does about requests that end their targets; by default it knows of none. */
class PoisonPolicy {
    /** A connection that breaks is followed by a check whether its target listens. */
    private static final long CHECK_MILLIS = 2;

    /** Returns what may be done with a request. */
    Treatment treatment(RequestDigest digest) {
        return Treatment.USUAL;
    }

    /** Returns whose turn it is among suspected requests that are alike. */
    DigestLocks digestLocks() {
        throw new IllegalStateException("No request is suspected.");
    }

    /** Takes that the connection to a target broke while it had a request. */
    void onConnectionBroken(
            FleetTarget target, TargetCrash end, RequestDigest digest, Runnable whenChecked) {
        whenChecked.run();
    }

    /** Takes that a target answered a request. */
    void onResponse(RequestDigest digest) {}

    /** Decides as VMs do in production. */
    static final class Production extends PoisonPolicy {
        private static final int TIMES_TOLD = 3;
        private static final long TOLD_AGAIN_MILLIS = 200;

        private final PoisonDetector mRegister = new PoisonDetector();
        private final DigestLocks mTurns = new DigestLocks();
        private final EventScheduler mTimeline;
        private Consumer<SuspectReport> mTeller;

        Production(EventScheduler timeline) {
            mTimeline = timeline;
        }

        /** Sets who tells all other VMs. */
        void setReportSender(Consumer<SuspectReport> teller) {
            mTeller = teller;
        }

        @Override
        Treatment treatment(RequestDigest digest) {
            return mRegister.treatment(digest, mTimeline.nowMillis());
        }

        @Override
        DigestLocks digestLocks() {
            return mTurns;
        }

        @Override
        void onConnectionBroken(
                FleetTarget target, TargetCrash end, RequestDigest digest, Runnable whenChecked) {
            mTimeline.schedule(
                    CHECK_MILLIS,
                    () -> {
                        if (target.isDown() && mRegister.onCrash(digest, end, now())) {
                            tell(digest, TIMES_TOLD);
                        }
                        whenChecked.run();
                    });
        }

        @Override
        void onResponse(RequestDigest digest) {
            if (!mRegister.isEmpty() && mRegister.onAnswered(digest, now())) {
                tell(digest, TIMES_TOLD);
            }
        }

        /** Takes what another VM tells. */
        void onPeerReport(SuspectReport news) {
            if (mRegister.onPeerReport(news, now())) {
                tell(news.digest(), 1);
            }
        }

        private void tell(RequestDigest digest, int times) {
            mTeller.accept(mRegister.report(digest, now()));
            if (times > 1) {
                mTimeline.schedule(TOLD_AGAIN_MILLIS, () -> tell(digest, times - 1));
            }
        }

        private long now() {
            return mTimeline.nowMillis();
        }
    }
}
