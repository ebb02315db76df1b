package org.dahliapass.lab;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.dahliapass.model.Endpoint;
import org.dahliapass.wire.Direction;
import org.dahliapass.wire.LinkFilter;

/** Injects one-way link failures at one VM and counts the lost messages. */
final class LinkFaults implements LinkFilter {
    private record Link(Endpoint peer, Direction direction) {}

    private final Set<Link> mCutLinks = ConcurrentHashMap.newKeySet();
    private final AtomicInteger mLostMessages = new AtomicInteger();

    /** Drops all messages to or from a peer in one direction. */
    void cut(Direction direction, Endpoint peer) {
        mCutLinks.add(new Link(peer, direction));
    }

    /** Removes all link failures. */
    void healAll() {
        mCutLinks.clear();
    }

    /** Returns the number of messages lost so far. */
    int lostMessages() {
        return mLostMessages.get();
    }

    @Override
    public boolean allows(Endpoint peer, Direction direction) {
        boolean passes = !mCutLinks.contains(new Link(peer, direction));
        if (!passes) {
            mLostMessages.incrementAndGet();
        }
        return passes;
    }
}
