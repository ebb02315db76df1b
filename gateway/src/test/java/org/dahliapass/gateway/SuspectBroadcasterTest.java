package org.dahliapass.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.dahliapass.model.RequestDigest;
import org.testng.annotations.Test;

/** Tests of {@link SuspectBroadcaster} on a clock of their own. */
public final class SuspectBroadcasterTest {
    private static final int FLOOD = 10_000;
    private static final int STEP_MILLIS = 100;

    private final List<List<RequestDigest>> mTold = new ArrayList<>();

    /** Guards against a VM that a lost datagram leaves without the news. */
    @Test
    public void eachPieceOfNewsIsToldThreeTimes() {
        EmbeddedChannel channel = new EmbeddedChannel();
        SuspectBroadcaster news = new SuspectBroadcaster(channel.eventLoop(), mTold::add);
        news.broadcast(digest(1));
        assertEquals(mTold, List.of(List.of(digest(1))));
        run(channel, 10);
        assertEquals(mTold.stream().filter(List.of(digest(1))::equals).count(), 3);
    }

    /** Guards against an attacker who makes VMs flood each other. */
    @Test
    public void floodOfNewsIsBounded() {
        List<List<RequestDigest>> told = new ArrayList<>();
        EmbeddedChannel channel = new EmbeddedChannel();
        SuspectBroadcaster news = new SuspectBroadcaster(channel.eventLoop(), told::add);
        for (int number = 0; number < FLOOD; number++) {
            news.broadcast(digest(number));
        }
        run(channel, 10);
        assertTrue(told.size() <= 6, told.size() + " datagrams in a second.");
        assertTrue(told.stream().allMatch(one -> one.size() <= 8));
        run(channel, 1_000);
        int total = told.size();
        assertTrue(total <= 100, total + " datagrams in all.");
    }

    private static RequestDigest digest(int number) {
        return new RequestDigest(0, number);
    }

    private static void run(EmbeddedChannel channel, int steps) {
        for (int step = 0; step < steps; step++) {
            channel.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
            channel.runScheduledPendingTasks();
        }
    }
}
