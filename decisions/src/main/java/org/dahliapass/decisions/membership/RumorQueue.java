package org.dahliapass.decisions.membership;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** A queue of the updates that are still to be gossiped, least transmitted first. */
final class RumorQueue {
    private final List<Set<Member>> mByTransmissions = new ArrayList<>();

    /** Adds a member's update at the front, with its transmissions reset. */
    void add(Member member) {
        remove(member);
        put(member, 0);
    }

    /** Removes all updates. */
    void clear() {
        mByTransmissions.clear();
    }

    /**
     * Returns the next updates that fit into a datagram and counts them as sent.
     *
     * @param bytes maximum size of the updates
     * @param transmissions number of times that an update is sent
     */
    List<MemberUpdate> next(int bytes, int transmissions) {
        List<Member> drained = new ArrayList<>();
        int remainingBytes = bytes;
        for (Set<Member> members : mByTransmissions) {
            remainingBytes = drain(members, remainingBytes, drained);
            if (remainingBytes <= 0) {
                break;
            }
        }
        List<MemberUpdate> updates = new ArrayList<>(drained.size());
        for (Member member : drained) {
            updates.add(member.update());
            if (member.transmissions() + 1 < transmissions) {
                put(member, member.transmissions() + 1);
            }
        }
        return updates;
    }

    /**
     * Drains members while they fit; returns the remaining bytes, 0 if the next one doesn't fit.
     */
    private static int drain(Set<Member> members, int bytes, List<Member> drained) {
        int remainingBytes = bytes;
        Iterator<Member> iterator = members.iterator();
        while (iterator.hasNext()) {
            Member member = iterator.next();
            if (member.update().sizeBytes() > remainingBytes) {
                return 0;
            }
            remainingBytes -= member.update().sizeBytes();
            drained.add(member);
            iterator.remove();
        }
        return remainingBytes;
    }

    private void put(Member member, int transmissions) {
        while (mByTransmissions.size() <= transmissions) {
            mByTransmissions.add(new LinkedHashSet<>());
        }
        member.setTransmissions(transmissions);
        mByTransmissions.get(transmissions).add(member);
    }

    private void remove(Member member) {
        if (member.transmissions() < mByTransmissions.size()) {
            mByTransmissions.get(member.transmissions()).remove(member);
        }
    }
}
