package org.dahliapass.lab;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.dahliapass.model.Endpoint;
import org.dahliapass.wire.Direction;
import org.dahliapass.wire.LinkFilter;

/** Cuts links of one VM one way while it runs, and counts what is lost by it. */
final class LinkFaults implements LinkFilter {
    private record Link(Endpoint peer, Direction direction) {}

    private final Set<Link> mCut = ConcurrentHashMap.newKeySet();
    private final AtomicInteger mLost = new AtomicInteger();

    /** Loses all messages that go this way. */
    void cut(Direction direction, Endpoint peer) {
        mCut.add(new Link(peer, direction));
    }

    /** Lets everything pass again. */
    void healAll() {
        mCut.clear();
    }

    /** Returns how many messages were lost so far. */
    int lostMessages() {
        return mLost.get();
    }

    @Override
    public boolean allows(Endpoint peer, Direction direction) {
        boolean passes = !mCut.contains(new Link(peer, direction));
        if (!passes) {
            mLost.incrementAndGet();
        }
        return passes;
    }
}
