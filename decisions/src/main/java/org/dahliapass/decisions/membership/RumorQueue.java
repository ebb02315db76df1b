package org.dahliapass.decisions.membership;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** The news that still has to be repeated, least sent first. */
final class RumorQueue {
    private final List<Set<Member>> mBySent = new ArrayList<>();

    /** Puts a member's news in front, as if it had never been sent. */
    void add(Member member) {
        remove(member);
        put(member, 0);
    }

    /** Forgets all news. */
    void clear() {
        mBySent.clear();
    }

    /**
     * Takes the next news that fit into a datagram and counts them as sent.
     *
     * @param bytes the room for them
     * @param transmissions after so many times, news isn't sent any more
     */
    List<MemberUpdate> next(int bytes, int transmissions) {
        List<Member> taken = new ArrayList<>();
        int room = bytes;
        for (Set<Member> members : mBySent) {
            room = takeFrom(members, room, taken);
            if (room <= 0) {
                break;
            }
        }
        List<MemberUpdate> updates = new ArrayList<>(taken.size());
        for (Member member : taken) {
            updates.add(member.update());
            if (member.transmissions() + 1 < transmissions) {
                put(member, member.transmissions() + 1);
            }
        }
        return updates;
    }

    /** Takes while there is room; returns the room left, 0 once the next one doesn't fit. */
    private static int takeFrom(Set<Member> members, int bytes, List<Member> taken) {
        int room = bytes;
        Iterator<Member> iterator = members.iterator();
        while (iterator.hasNext()) {
            Member member = iterator.next();
            if (member.update().sizeBytes() > room) {
                return 0;
            }
            room -= member.update().sizeBytes();
            taken.add(member);
            iterator.remove();
        }
        return room;
    }

    private void put(Member member, int sent) {
        while (mBySent.size() <= sent) {
            mBySent.add(new LinkedHashSet<>());
        }
        member.setTransmissions(sent);
        mBySent.get(sent).add(member);
    }

    private void remove(Member member) {
        if (member.transmissions() < mBySent.size()) {
            mBySent.get(member.transmissions()).remove(member);
        }
    }
}
