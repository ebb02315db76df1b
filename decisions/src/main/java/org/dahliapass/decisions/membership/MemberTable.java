package org.dahliapass.decisions.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/** The other VMs by name, sorted, so that a member costs one reference here and no map entry. */
final class MemberTable {
    private static final int TRIES_PER_PICK = 4;

    private final List<Member> mMembers = new ArrayList<>();
    private final RandomGenerator mRandom;
    private int mLive;

    MemberTable(RandomGenerator random) {
        mRandom = random;
    }

    /** Returns all members, dead ones too, sorted by name; not to be changed. */
    List<Member> all() {
        return mMembers;
    }

    /** Returns how many members aren't dead. */
    int liveCount() {
        return mLive;
    }

    /** Returns the member of that name, or null. */
    Member find(String name) {
        int index = indexOf(name);
        return index < 0 ? null : mMembers.get(index);
    }

    void add(Member member) {
        mMembers.add(-indexOf(member.name()) - 1, member);
        mLive += member.isDead() ? 0 : 1;
    }

    /** Gives a member its news and keeps the count of live ones. */
    void apply(Member member, MemberUpdate update, boolean localVerdict, long nowMillis) {
        mLive -= member.isDead() ? 0 : 1;
        member.apply(update, localVerdict, nowMillis);
        mLive += member.isDead() ? 0 : 1;
    }

    /** Forgets the dead members that the condition names. */
    void forgetDead(Predicate<Member> condition) {
        mMembers.removeIf(member -> member.isDead() && condition.test(member));
    }

    /** Returns a random number from 0 up to, but without, the bound. */
    int randomInt(int bound) {
        return mRandom.nextInt(bound);
    }

    /** Returns up to that many different random members that fulfil the condition. */
    List<Member> sample(int count, Predicate<Member> condition) {
        List<Member> picked = new ArrayList<>(count);
        if (mMembers.isEmpty()) {
            return picked;
        }
        for (int i = 0; i < count * TRIES_PER_PICK && picked.size() < count; i++) {
            pickOne(mMembers.get(mRandom.nextInt(mMembers.size())), condition, picked);
        }
        int start = mRandom.nextInt(mMembers.size());
        for (int i = 0; i < mMembers.size() && picked.size() < count; i++) {
            pickOne(mMembers.get((start + i) % mMembers.size()), condition, picked);
        }
        return picked;
    }

    /** Returns a number that is equal for lists that hold the same live members. */
    long digest(MemberUpdate self) {
        long digest = digestOf(self);
        for (Member member : mMembers) {
            digest ^= member.isDead() ? 0 : digestOf(member.update());
        }
        return digest;
    }

    private static long digestOf(MemberUpdate update) {
        long value = update.identity().incarnation();
        value = Hash.mix(value ^ Hash.of(update.identity().name()));
        return Hash.mix(value + update.refutation() + Hash.of(update.state().name()));
    }

    private static void pickOne(Member member, Predicate<Member> condition, List<Member> picked) {
        if (condition.test(member) && !picked.contains(member)) {
            picked.add(member);
        }
    }

    private int indexOf(String name) {
        int low = 0;
        int high = mMembers.size() - 1;
        while (low <= high) {
            int middle = (low + high) >>> 1;
            int order = mMembers.get(middle).name().compareTo(name);
            if (order == 0) {
                return middle;
            }
            if (order < 0) {
                low = middle + 1;
            } else {
                high = middle - 1;
            }
        }
        return -low - 1;
    }
}
