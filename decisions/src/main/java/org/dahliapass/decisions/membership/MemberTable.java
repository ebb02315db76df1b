package org.dahliapass.decisions.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/** The other members, sorted by name to avoid the memory of map entries. */
final class MemberTable {
    private static final int DRAWS_PER_SAMPLE = 4;

    private final List<Member> mMembers = new ArrayList<>();
    private final RandomGenerator mRandom;
    private int mLiveCount;

    MemberTable(RandomGenerator random) {
        mRandom = random;
    }

    /** Returns all members including dead ones, sorted by name; callers don't modify the list. */
    List<Member> all() {
        return mMembers;
    }

    /** Returns how many members aren't dead. */
    int liveCount() {
        return mLiveCount;
    }

    /** Returns the member with the name, or null. */
    Member find(String name) {
        int index = indexOf(name);
        return index < 0 ? null : mMembers.get(index);
    }

    void add(Member member) {
        mMembers.add(-indexOf(member.name()) - 1, member);
        mLiveCount += member.isDead() ? 0 : 1;
    }

    /** Applies an update to a member and adjusts the live count. */
    void apply(Member member, MemberUpdate update, boolean localVerdict, long nowMillis) {
        mLiveCount -= member.isDead() ? 0 : 1;
        member.apply(update, localVerdict, nowMillis);
        mLiveCount += member.isDead() ? 0 : 1;
    }

    /** Removes the dead members that match the condition. */
    void removeDead(Predicate<Member> condition) {
        mMembers.removeIf(member -> member.isDead() && condition.test(member));
    }

    /** Returns a random number from 0 (inclusive) to the bound (exclusive). */
    int randomInt(int bound) {
        return mRandom.nextInt(bound);
    }

    /** Returns up to {@code count} distinct random members that match the condition. */
    List<Member> sample(int count, Predicate<Member> condition) {
        List<Member> sampled = new ArrayList<>(count);
        if (mMembers.isEmpty()) {
            return sampled;
        }
        for (int i = 0; i < count * DRAWS_PER_SAMPLE && sampled.size() < count; i++) {
            addIfEligible(mMembers.get(mRandom.nextInt(mMembers.size())), condition, sampled);
        }
        int start = mRandom.nextInt(mMembers.size());
        for (int i = 0; i < mMembers.size() && sampled.size() < count; i++) {
            addIfEligible(mMembers.get((start + i) % mMembers.size()), condition, sampled);
        }
        return sampled;
    }

    /** Returns a digest that is equal for lists with the same live members. */
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

    private static void addIfEligible(
            Member member, Predicate<Member> condition, List<Member> sampled) {
        if (condition.test(member) && !sampled.contains(member)) {
            sampled.add(member);
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
