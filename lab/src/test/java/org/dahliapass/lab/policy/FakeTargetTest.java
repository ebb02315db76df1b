package org.dahliapass.lab.policy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Tests {@link FakeTarget}. */
public class FakeTargetTest {
    private final List<String> mCompletions = new ArrayList<>();

    @Test
    public void requestWaitsForSlotAndIsRefusedWhenQueueIsFull() {
        mCompletions.clear();
        EventQueue events = new EventQueue();
        FakeTarget target = new FakeTarget(events, 1);
        for (int number = 0; number < 5; number++) {
            assertTrue(target.offer(task(events, 100, 10_000)));
        }
        assertFalse(target.offer(task(events, 100, 10_000)));
        events.runUntil(1_000);
        assertEquals(
                mCompletions, List.of("100 true", "200 true", "300 true", "400 true", "500 true"));
    }

    @Test
    public void expiredRequestFreesItsSlot() {
        mCompletions.clear();
        EventQueue events = new EventQueue();
        FakeTarget target = new FakeTarget(events, 1);
        target.offer(task(events, 5_000, 300));
        target.offer(task(events, 100, 1_000));
        events.runUntil(1_000);
        assertEquals(mCompletions, List.of("300 false", "400 true"));
    }

    private FakeTarget.Task task(EventQueue events, long slotMicros, long deadlineMicros) {
        return new FakeTarget.Task(
                slotMicros,
                deadlineMicros,
                inTime -> mCompletions.add(events.nowMicros() + " " + inTime));
    }
}
