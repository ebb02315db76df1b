package org.dahliapass.decisions.limits;

import java.util.List;

/** Gives every VM the same share; needs no messages. */
final class EvenShares implements ShareSource {
    private int mVms = 1;

    @Override
    public void onVms(List<String> vms, long nowMillis) {
        mVms = Math.max(1, vms.size());
    }

    @Override
    public double share(String customer, long nowMillis) {
        return 1.0 / mVms;
    }

    @Override
    public void onDemand(String customer, double demand, boolean wanted, long nowMillis) {}

    @Override
    public List<LimitMessage> poll(long nowMillis) {
        return List.of();
    }

    @Override
    public List<LimitMessage> onMessage(LimitMessage message, long nowMillis) {
        return List.of();
    }

    @Override
    public boolean isActive() {
        return false;
    }
}
