package org.dahliapass.lab.fleet;

import java.util.function.Consumer;
import org.dahliapass.decisions.poison.PoisonRegister;
import org.dahliapass.decisions.poison.SuspectNews;
import org.dahliapass.decisions.poison.TargetEnd;
import org.dahliapass.decisions.poison.Treatment;
import org.dahliapass.decisions.poison.Turns;
import org.dahliapass.model.RequestDigest;

/** What one VM does about requests that end their targets; by default it knows of none. */
class FleetGuard {
    /** A connection that breaks is followed by a check whether its target listens. */
    private static final long CHECK_MILLIS = 2;

    /** Returns what may be done with a request. */
    Treatment treatment(RequestDigest digest) {
        return Treatment.USUAL;
    }

    /** Returns whose turn it is among suspected requests that are alike. */
    Turns turns() {
        throw new IllegalStateException("No request is suspected.");
    }

    /** Takes that the connection to a target broke while it had a request. */
    void onBroken(FleetTarget target, TargetEnd end, RequestDigest digest, Runnable whenChecked) {
        whenChecked.run();
    }

    /** Takes that a target answered a request. */
    void onAnswered(RequestDigest digest) {}

    /** Decides as VMs do in production. */
    static final class Production extends FleetGuard {
        private static final int TIMES_TOLD = 3;
        private static final long TOLD_AGAIN_MILLIS = 200;

        private final PoisonRegister mRegister = new PoisonRegister();
        private final Turns mTurns = new Turns();
        private final Timeline mTimeline;
        private Consumer<SuspectNews> mTeller;

        Production(Timeline timeline) {
            mTimeline = timeline;
        }

        /** Sets who tells all other VMs. */
        void setTeller(Consumer<SuspectNews> teller) {
            mTeller = teller;
        }

        @Override
        Treatment treatment(RequestDigest digest) {
            return mRegister.treatment(digest, mTimeline.nowMillis());
        }

        @Override
        Turns turns() {
            return mTurns;
        }

        @Override
        void onBroken(
                FleetTarget target, TargetEnd end, RequestDigest digest, Runnable whenChecked) {
            mTimeline.after(
                    CHECK_MILLIS,
                    () -> {
                        if (target.isDown() && mRegister.onEnd(digest, end, now())) {
                            tell(digest, TIMES_TOLD);
                        }
                        whenChecked.run();
                    });
        }

        @Override
        void onAnswered(RequestDigest digest) {
            if (!mRegister.isEmpty() && mRegister.onAnswered(digest, now())) {
                tell(digest, TIMES_TOLD);
            }
        }

        /** Takes what another VM tells. */
        void onNews(SuspectNews news) {
            if (mRegister.onNews(news, now())) {
                tell(news.digest(), 1);
            }
        }

        private void tell(RequestDigest digest, int times) {
            mTeller.accept(mRegister.news(digest, now()));
            if (times > 1) {
                mTimeline.after(TOLD_AGAIN_MILLIS, () -> tell(digest, times - 1));
            }
        }

        private long now() {
            return mTimeline.nowMillis();
        }
    }
}
