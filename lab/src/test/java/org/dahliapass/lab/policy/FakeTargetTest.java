package org.dahliapass.lab.policy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Tests {@link FakeTarget}. */
public class FakeTargetTest {
    private final List<String> mEnds = new ArrayList<>();

    @Test
    public void workWaitsForSlotAndIsRefusedBehindFullQueue() {
        mEnds.clear();
        EventQueue events = new EventQueue();
        FakeTarget target = new FakeTarget(events, 1);
        for (int piece = 0; piece < 5; piece++) {
            assertTrue(target.offer(work(events, 100, 10_000)));
        }
        assertFalse(target.offer(work(events, 100, 10_000)));
        events.runUntil(1_000);
        assertEquals(mEnds, List.of("100 true", "200 true", "300 true", "400 true", "500 true"));
    }

    @Test
    public void workThatPassesItsDeadlineFreesItsSlot() {
        mEnds.clear();
        EventQueue events = new EventQueue();
        FakeTarget target = new FakeTarget(events, 1);
        target.offer(work(events, 5_000, 300));
        target.offer(work(events, 100, 1_000));
        events.runUntil(1_000);
        assertEquals(mEnds, List.of("300 false", "400 true"));
    }

    private FakeTarget.Work work(EventQueue events, long slotMicros, long deadlineMicros) {
        return new FakeTarget.Work(
                slotMicros, deadlineMicros, inTime -> mEnds.add(events.nowMicros() + " " + inTime));
    }
}
