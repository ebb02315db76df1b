package org.dahliapass.decisions.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.dahliapass.decisions.membership.MembershipAction.ExchangeMembers;
import org.dahliapass.model.Endpoint;

/**
 * Decides with whom the whole list is compared, and when: with hints while this VM knows nobody,
 * then now and then with a random member and with a hint that isn't a live member's.
 *
 * <p>Guards against parts of the fleet that have declared each other dead during a partition and
 * would never speak again; it would show as two fleets with disjoint lists. The hints and the
 * addresses of former members lead across.
 */
final class AntiEntropyScheduler {
    private static final int MOST_FORMER = 16;
    private static final int MEMBERS_PER_INTERVAL = 256;
    private static final double JITTER = 0.25;

    private final MembershipSettings mSettings;
    private final RandomGenerator mRandom;
    private final MemberTable mTable;
    private final Set<Endpoint> mFormer = new LinkedHashSet<>();
    private List<Endpoint> mHints = List.of();
    private long mNextExchangeMillis = Long.MIN_VALUE;
    private long mNextHintMillis = Long.MIN_VALUE;
    private long mNextJoinMillis = Long.MIN_VALUE;

    AntiEntropyScheduler(MembershipSettings settings, RandomGenerator random, MemberTable table) {
        mSettings = settings;
        mRandom = random;
        mTable = table;
    }

    void setSeeds(Collection<Endpoint> hints) {
        mHints = List.copyOf(hints);
    }

    /** Remembers the address of a member that is being forgotten. */
    void addFormerMember(Endpoint peers) {
        mFormer.add(peers);
        if (mFormer.size() > MOST_FORMER) {
            mFormer.remove(mFormer.iterator().next());
        }
    }

    void onTick(
            MemberUpdate self, boolean outdated, long nowMillis, List<MembershipAction> actions) {
        if (outdated || mTable.liveCount() == 0) {
            joinIfDue(self, nowMillis, actions);
            return;
        }
        if (nowMillis >= mNextExchangeMillis) {
            mNextExchangeMillis = nowMillis + jittered(exchangeMillis());
            compareWithMember(self, actions);
        }
        if (nowMillis >= mNextHintMillis) {
            mNextHintMillis = nowMillis + jittered(mSettings.seedInterval().toMillis());
            contactStranger(self, actions);
        }
    }

    /** Grows with the fleet, since the list does: its bytes a second stay the same. */
    private long exchangeMillis() {
        double factor = Math.max(1.0, (double) mTable.liveCount() / MEMBERS_PER_INTERVAL);
        return Math.round(mSettings.exchangeInterval().toMillis() * factor);
    }

    private void joinIfDue(MemberUpdate self, long nowMillis, List<MembershipAction> actions) {
        if (nowMillis < mNextJoinMillis) {
            return;
        }
        mNextJoinMillis = nowMillis + jittered(mSettings.period().toMillis());
        compareWithMember(self, actions);
        contactStranger(self, actions);
    }

    private void compareWithMember(MemberUpdate self, List<MembershipAction> actions) {
        List<Member> picked = mTable.sample(1, member -> member.state().isSelfReported());
        for (Member member : picked) {
            long incarnation = member.identity().incarnation();
            actions.add(exchange(member.update().vm().peerEndpoint(), incarnation, self));
        }
    }

    private void contactStranger(MemberUpdate self, List<MembershipAction> actions) {
        stranger(self)
                .map(peer -> exchange(peer, GossipMessage.ANY_INCARNATION, self))
                .ifPresent(actions::add);
    }

    private Optional<Endpoint> stranger(MemberUpdate self) {
        Set<Endpoint> candidates = new LinkedHashSet<>(mHints);
        candidates.addAll(mFormer);
        candidates.remove(self.vm().peerEndpoint());
        for (Member member : mTable.all()) {
            if (member.isDead()) {
                candidates.add(member.update().vm().peerEndpoint());
            }
        }
        for (Member member : mTable.all()) {
            if (!member.isDead()) {
                candidates.remove(member.update().vm().peerEndpoint());
            }
        }
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new ArrayList<>(candidates).get(mRandom.nextInt(candidates.size())));
    }

    private ExchangeMembers exchange(Endpoint peer, long incarnation, MemberUpdate self) {
        return new ExchangeMembers(peer, incarnation, new JoinRequest(self, mTable.digest(self)));
    }

    private long jittered(long millis) {
        return Math.round(millis * (1 - JITTER + 2 * JITTER * mRandom.nextDouble()));
    }
}
