package org.dahliapass.decisions.limits;

import java.util.List;
import java.util.function.Supplier;

/**
 * The share of one target's request limit that this VM may use. Not thread-safe.
 *
 * <p>The VMs learn of changes one by one. A VM uses a larger share only after those that had it
 * have given it up, so that no part of the limit is used twice for long.
 */
final class LimitShare {
    /** The time in which all VMs learn of a change of the VMs that take callers. */
    private static final long HANDOVER_MILLIS = 2_000;

    /** The VMs that a VM assumes, at least, while it knows none. */
    private static final int ASSUMED_VMS = 6;

    /** The part of its share that a VM uses while others may use that share already. */
    private static final double ISOLATED_PART = 0.4;

    private final String mTarget;
    private final TargetLimitSharing mSharing;
    private final Supplier<LimitingVms> mVms;

    /** What the share was computed from, since computing it visits all VMs. */
    private List<String> mKnownVms = List.of();

    private double mKnownLimit;
    private double mShare;
    private double mFormerShare;
    private long mHandoverEndMillis = Long.MIN_VALUE / 2;

    /**
     * Creates a share.
     *
     * @param target identifies the target; the same on all VMs
     * @param vms the VMs that divide the limit
     */
    LimitShare(String target, TargetLimitSharing sharing, Supplier<LimitingVms> vms) {
        mTarget = target;
        mSharing = sharing;
        mVms = vms;
    }

    /**
     * Returns the share of a limit, 0 to 1.
     *
     * @param limit the limit, in requests per second
     */
    double of(double limit, long nowMillis) {
        LimitingVms vms = mVms.get();
        if (vms.vms().isEmpty()) {
            return 1.0 / ASSUMED_VMS;
        }
        if (vms.vms() != mKnownVms || limit != mKnownLimit) {
            update(vms, limit, nowMillis);
        }
        boolean isHandover = nowMillis < mHandoverEndMillis;
        double share = isHandover ? Math.min(mFormerShare, mShare) : mShare;
        return vms.isolated() ? ISOLATED_PART * share : share;
    }

    /** Returns the share of one of all VMs, also of those that take no callers. */
    double ofAnyVm() {
        return 1.0 / Math.max(ASSUMED_VMS, mVms.get().registered());
    }

    private void update(LimitingVms vms, double limit, long nowMillis) {
        double share = mSharing.share(vms.self(), vms.vms(), mTarget, limit);
        boolean isFirst = mKnownVms.isEmpty();
        if (!isFirst && share > mShare) {
            mFormerShare = nowMillis < mHandoverEndMillis ? mFormerShare : mShare;
            mHandoverEndMillis = nowMillis + HANDOVER_MILLIS;
        }
        mShare = share;
        mKnownVms = vms.vms();
        mKnownLimit = limit;
    }
}
