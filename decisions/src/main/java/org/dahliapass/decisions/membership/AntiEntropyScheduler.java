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
 * Schedules anti-entropy exchanges of the whole member list: with seeds while this VM knows no
 * other member, then periodically with a random member and with an address of no live member.
 *
 * <p>Contacting seeds and former members reconnects the sides of a healed partition that have
 * declared each other dead.
 */
final class AntiEntropyScheduler {
    private static final int MAX_FORMER_MEMBERS = 16;
    private static final int BASE_FLEET_SIZE = 256;
    private static final double JITTER = 0.25;

    private final MembershipSettings mSettings;
    private final RandomGenerator mRandom;
    private final MemberTable mTable;
    private final Set<Endpoint> mFormerMembers = new LinkedHashSet<>();
    private List<Endpoint> mSeeds = List.of();
    private long mNextExchangeMillis = Long.MIN_VALUE;
    private long mNextSeedMillis = Long.MIN_VALUE;
    private long mNextJoinMillis = Long.MIN_VALUE;

    AntiEntropyScheduler(MembershipSettings settings, RandomGenerator random, MemberTable table) {
        mSettings = settings;
        mRandom = random;
        mTable = table;
    }

    void setSeeds(Collection<Endpoint> seeds) {
        mSeeds = List.copyOf(seeds);
    }

    /** Adds the address of a member that is removed from the table. */
    void addFormerMember(Endpoint endpoint) {
        mFormerMembers.add(endpoint);
        if (mFormerMembers.size() > MAX_FORMER_MEMBERS) {
            mFormerMembers.remove(mFormerMembers.iterator().next());
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
            exchangeWithMember(self, actions);
        }
        if (nowMillis >= mNextSeedMillis) {
            mNextSeedMillis = nowMillis + jittered(mSettings.seedInterval().toMillis());
            exchangeWithNonMember(self, actions);
        }
    }

    /** Grows with the list, so that the bytes per second stay constant. */
    private long exchangeMillis() {
        double factor = Math.max(1.0, (double) mTable.liveCount() / BASE_FLEET_SIZE);
        return Math.round(mSettings.exchangeInterval().toMillis() * factor);
    }

    private void joinIfDue(MemberUpdate self, long nowMillis, List<MembershipAction> actions) {
        if (nowMillis < mNextJoinMillis) {
            return;
        }
        mNextJoinMillis = nowMillis + jittered(mSettings.period().toMillis());
        exchangeWithMember(self, actions);
        exchangeWithNonMember(self, actions);
    }

    private void exchangeWithMember(MemberUpdate self, List<MembershipAction> actions) {
        List<Member> sampled = mTable.sample(1, member -> member.state().isSelfReported());
        for (Member member : sampled) {
            long incarnation = member.identity().incarnation();
            actions.add(exchange(member.update().vm().peerEndpoint(), incarnation, self));
        }
    }

    private void exchangeWithNonMember(MemberUpdate self, List<MembershipAction> actions) {
        randomNonMember(self)
                .map(peer -> exchange(peer, GossipMessage.ANY_INCARNATION, self))
                .ifPresent(actions::add);
    }

    private Optional<Endpoint> randomNonMember(MemberUpdate self) {
        Set<Endpoint> candidates = new LinkedHashSet<>(mSeeds);
        candidates.addAll(mFormerMembers);
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
