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
    private final TargetLimitSharing mSharing;
    private final RandomGenerator mRandom;
    private final Map<Endpoint, LimitedTarget> mTargets = new HashMap<>();
    private Supplier<LimitingVms> mVms = () -> new LimitingVms("", List.of(), 0, false);

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
    public boolean allows(Endpoint target, LimitMargin margin, long nowMillis) {
        LimitedTarget limited = mTargets.get(target);
        return limited == null || limited.allows(margin, nowMillis);
    }

    /** Returns whether a target has a limit. */
    public boolean isLimited(Endpoint target) {
        LimitedTarget limited = mTargets.get(target);
        return limited != null && limited.isLimited();
    }

    /** Returns whether any target has a limit. */
    public boolean hasLimitedTargets() {
        return mTargets.values().stream().anyMatch(LimitedTarget::isLimited);
    }

    /** Records that a request is sent to a target. */
    public void onSent(Endpoint target, long nowMillis) {
        LimitedTarget limited = mTargets.get(target);
        if (limited != null) {
            limited.onSent(nowMillis);
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
        if (statement instanceof LimitStatement.Limited limited) {
            return known(target, nowMillis).onLimited(limited, sentMillis, nowMillis);
        }
        LimitedTarget known = mTargets.get(target);
        if (known == null) {
            return Optional.empty();
        }
        if (statement instanceof LimitStatement.Malformed) {
            known.confirm(nowMillis);
            return Optional.empty();
        }
        return known.onUnlimited(sentMillis, nowMillis);
    }

    private LimitedTarget known(Endpoint target, long nowMillis) {
        return mTargets.computeIfAbsent(
                target, key -> new LimitedTarget(newShare(key), mRandom, nowMillis));
    }

    private LimitShare newShare(Endpoint target) {
        return new LimitShare(target.toString(), mSharing, () -> mVms.get());
    }

    /**
     * Records what another VM read from a response of a target; the latest statement applies.
     *
     * @return the change of the limit; empty if there is none
     */
    public Optional<LimitChange> onPeerReport(Endpoint target, LimitReport report, long nowMillis) {
        boolean isLimited = report.statement() instanceof LimitStatement.Limited;
        if (!isLimited && !mTargets.containsKey(target)) {
            return Optional.empty();
        }
        return known(target, nowMillis).onPeerReport(report, nowMillis);
    }

    /** Returns what this VM's responses said since the last call, for the other VMs. */
    public Map<Endpoint, LimitReport> drainReports(long nowMillis) {
        Map<Endpoint, LimitReport> reports = new HashMap<>();
        mTargets.forEach(
                (target, limited) ->
                        limited.takeReport().ifPresent(report -> reports.put(target, report)));
        mTargets.values().removeIf(limited -> limited.isForgettable(nowMillis));
        return reports;
    }

    /** Discards the limits of targets that were replaced at their address. */
    public void forget(Set<Endpoint> targets) {
        mTargets.keySet().removeAll(targets);
    }

    /** Discards the limits of all targets except the given ones. */
    public void retain(Set<Endpoint> targets) {
        mTargets.keySet().retainAll(targets);
    }
}
