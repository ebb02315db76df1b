package org.dahliapass.decisions.limits;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.dahliapass.model.Endpoint;

/**
 * This VM's part in the request limits that the targets of one service name in their responses.
 *
 * <p>A limit holds for the sum of all VMs and for every attempt. The VMs that use a limited target
 * follow from its address and the known VMs, so no message divides the limit. They read its changes
 * from the responses; the others learn them from reports.
 *
 * <p>A limit that nobody has confirmed for a while still holds, but any VM may send a request now
 * and then to find out whether it does. Not thread-safe.
 */
public final class TargetLimits {
    /**
     * The lowest rate that all VMs together use, in requests per second. Without any request, a VM
     * would not learn that a limit was lifted.
     */
    static final double MIN_REQUESTS_PER_SECOND = 0.5;

    /** The time after the latest statement from which any VM tries the target. */
    static final long CONFIRMATION_MILLIS = 5_000;

    /** How long reports repeat that a limit was lifted, since single ones may be lost. */
    private static final long LIFTED_MILLIS = 5_000;

    /** The VMs that a VM assumes, at least, while it knows none. */
    private static final int ASSUMED_VMS = 6;

    /** The part of its share that a VM uses while others may use that share already. */
    private static final double ISOLATED_PART = 0.4;

    /** The requests that a VM may send at once, as seconds of its share. */
    private static final double BURST_SECONDS = 0.25;

    /** A smaller bucket would never admit a request. */
    private static final double MIN_CAPACITY = 1;

    private final TargetLimitSharing mSharing;
    private final RandomGenerator mRandom;
    private final Map<Endpoint, Entry> mEntries = new HashMap<>();
    private Supplier<LimitingVms> mVms = () -> new LimitingVms("", List.of(), ASSUMED_VMS, false);

    /**
     * Creates limits without limited targets.
     *
     * @param random spreads the VMs' trials of targets with an unconfirmed limit
     */
    public TargetLimits(TargetLimitSharing sharing, RandomGenerator random) {
        mSharing = sharing;
        mRandom = random;
    }

    /** Sets the source of the VMs that divide the limits. */
    public void setVms(Supplier<LimitingVms> vms) {
        mVms = vms;
    }

    /** Returns whether this VM may send a request to a target now. */
    public boolean allows(Endpoint target, long nowMillis) {
        Entry entry = mEntries.get(target);
        return entry == null || !entry.isLimited() || entry.tokens(nowMillis) >= 1;
    }

    /** Records that a request is sent to a target. */
    public void onSent(Endpoint target, long nowMillis) {
        Entry entry = mEntries.get(target);
        if (entry != null && entry.isLimited()) {
            entry.refill(nowMillis);
            entry.mTokens.remove(1);
        }
    }

    /**
     * Records what a response of a target says.
     *
     * @param sentMillis when its request was sent, in milliseconds
     * @return the change of the limit; empty if there is none
     */
    public Optional<LimitChange> onResponse(
            Endpoint target, LimitStatement statement, long sentMillis, long nowMillis) {
        Entry known = mEntries.get(target);
        if (statement instanceof LimitStatement.Limited limited) {
            Entry entry = mEntries.computeIfAbsent(target, key -> new Entry(key, nowMillis));
            return entry.onLimited(limited, sentMillis, nowMillis);
        }
        if (known == null) {
            return Optional.empty();
        }
        if (statement instanceof LimitStatement.Malformed) {
            known.mConfirmedMillis = nowMillis;
            return Optional.empty();
        }
        return known.onUnlimited(sentMillis, nowMillis);
    }

    /**
     * Records what another VM read from a response of a target; the latest statement applies.
     *
     * @return the change of the limit; empty if there is none
     */
    public Optional<LimitChange> onPeerReport(Endpoint target, LimitReport report, long nowMillis) {
        Entry entry = mEntries.get(target);
        if (entry == null) {
            if (!(report.statement() instanceof LimitStatement.Limited)) {
                return Optional.empty();
            }
            entry = new Entry(target, nowMillis);
            mEntries.put(target, entry);
        }
        if (report.statedMillis() <= entry.mStatedMillis) {
            return Optional.empty();
        }
        return entry.set(report.statement(), report.statedMillis(), nowMillis);
    }

    /** Returns what this VM's responses said since the last call, for the other VMs. */
    public Map<Endpoint, LimitReport> drainReports(long nowMillis) {
        Map<Endpoint, LimitReport> reports = new HashMap<>();
        mEntries.forEach(
                (target, entry) -> {
                    if (entry.mIsUnreported) {
                        entry.mIsUnreported = false;
                        reports.put(target, new LimitReport(entry.mStatement, entry.mStatedMillis));
                    }
                });
        mEntries.values().removeIf(entry -> entry.isForgettable(nowMillis));
        return reports;
    }

    /** Discards the limits of targets that were replaced at their address. */
    public void forget(Set<Endpoint> targets) {
        mEntries.keySet().removeAll(targets);
    }

    /** Discards the limits of all targets except the given ones. */
    public void retain(Set<Endpoint> targets) {
        mEntries.keySet().retainAll(targets);
    }

    /** The state of a target that names a limit or did so recently. */
    private final class Entry {
        private final String mTarget;

        /** Starts empty, since other VMs may have used the limit already. */
        private final TokenBucket mTokens;

        private LimitStatement mStatement = LimitStatement.UNLIMITED;
        private long mStatedMillis = Long.MIN_VALUE / 2;
        private long mConfirmedMillis;
        private boolean mIsUnreported;
        private boolean mIsTried;

        /** The share and what it was computed from, since computing it visits all VMs. */
        private double mShare;

        private List<String> mShareVms = List.of();
        private double mShareLimit;

        private Entry(Endpoint target, long nowMillis) {
            mTarget = target.toString();
            mTokens = new TokenBucket(0, nowMillis);
        }

        private boolean isLimited() {
            return mStatement instanceof LimitStatement.Limited;
        }

        private Optional<LimitChange> onLimited(
                LimitStatement.Limited limited, long sentMillis, long nowMillis) {
            mConfirmedMillis = nowMillis;
            boolean isRaised =
                    mStatement instanceof LimitStatement.Limited known
                            && limited.requestsPerSecond() > known.requestsPerSecond();
            // A response to an earlier request may have been created before the limit was lowered.
            if (isRaised && sentMillis < mStatedMillis) {
                return Optional.empty();
            }
            mIsUnreported = true;
            return set(limited, nowMillis, nowMillis);
        }

        private Optional<LimitChange> onUnlimited(long sentMillis, long nowMillis) {
            if (sentMillis < mStatedMillis) {
                return Optional.empty();
            }
            mIsUnreported = true;
            return set(LimitStatement.UNLIMITED, sentMillis, nowMillis);
        }

        private Optional<LimitChange> set(
                LimitStatement statement, long statedMillis, long nowMillis) {
            LimitStatement before = mStatement;
            boolean isChanged = !statement.equals(before);
            if (isChanged && isLimited()) {
                refill(nowMillis);
            }
            mStatement = statement;
            mStatedMillis = statedMillis;
            if (isLimited() || isChanged) {
                mConfirmedMillis = Math.max(mConfirmedMillis, statedMillis);
            }
            return isChanged ? Optional.of(new LimitChange(before, statement)) : Optional.empty();
        }

        private boolean isForgettable(long nowMillis) {
            return !isLimited() && nowMillis - mConfirmedMillis > LIFTED_MILLIS;
        }

        private double tokens(long nowMillis) {
            refill(nowMillis);
            return mTokens.tokens();
        }

        private void refill(long nowMillis) {
            boolean isUnconfirmed = nowMillis - mConfirmedMillis > CONFIRMATION_MILLIS;
            if (isUnconfirmed && !mIsTried && mTokens.tokens() < 1) {
                mTokens.setTokens(mRandom.nextDouble());
            }
            mIsTried = isUnconfirmed;
            double perSecond = requestsPerSecond(isUnconfirmed);
            mTokens.refill(perSecond, Math.max(MIN_CAPACITY, perSecond * BURST_SECONDS), nowMillis);
        }

        /** Returns this VM's part of the limit, in requests per second. */
        private double requestsPerSecond(boolean isUnconfirmed) {
            if (!(mStatement instanceof LimitStatement.Limited limited)) {
                return 0;
            }
            LimitingVms vms = mVms.get();
            double limit = Math.max(MIN_REQUESTS_PER_SECOND, limited.requestsPerSecond());
            double trials =
                    isUnconfirmed ? MIN_REQUESTS_PER_SECOND / Math.max(1, vms.registered()) : 0;
            return Math.max(trials, limit * share(vms, limit));
        }

        private double share(LimitingVms vms, double limit) {
            if (vms.vms().isEmpty()) {
                return 1.0 / ASSUMED_VMS;
            }
            if (vms.vms() != mShareVms || limit != mShareLimit) {
                mShareVms = vms.vms();
                mShareLimit = limit;
                mShare = mSharing.share(vms.self(), vms.vms(), mTarget, limit);
            }
            return vms.isolated() ? ISOLATED_PART * mShare : mShare;
        }
    }
}
