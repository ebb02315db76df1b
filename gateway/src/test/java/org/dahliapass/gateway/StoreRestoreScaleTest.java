package org.dahliapass.gateway;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.dahliapass.platform.StoreCalls;
import org.dahliapass.platform.StoreEvent;
import org.dahliapass.platform.StoreRevision;
import org.dahliapass.platform.StoredItem;
import org.dahliapass.platform.WatchResponse;
import org.testng.annotations.Test;

/** Tests what a restore of the store costs in a large fleet; prints sizes and times. */
public final class StoreRestoreScaleTest {
    private static final int TARGETS = 37_000;
    private static final int VMS = 3_700;
    private static final int LOST_CHANGES = 100;
    private static final long NOW = 1_000;
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Guards against followers that are sent the whole copy of the store after a restore. */
    @Test
    public void followerIsSentTheLostChangesOnly() {
        List<StoredItem> copy = new ArrayList<>();
        for (int number = 0; number < TARGETS; number++) {
            copy.add(target(number, 1, number + 1));
        }
        for (int number = 0; number < VMS; number++) {
            copy.add(StoredItem.of("dahliapass/vms/vm-" + number, "{}", TARGETS + number + 1));
        }
        StoreRevision backedUp = new StoreRevision(1, TARGETS + VMS);
        StoreMirror mirror = new StoreMirror();
        mirror.load(copy, backedUp, NOW);
        List<StoreEvent> lost = new ArrayList<>();
        for (int number = 0; number < LOST_CHANGES; number++) {
            // Half of the lost changes are registrations, the others are newer states.
            int target = number % 2 == 0 ? TARGETS + number : number;
            lost.add(new StoreEvent.Written(target(target, 2, backedUp.number() + number + 1)));
        }
        StoreRevision known = backedUp.withNumber(backedUp.number() + LOST_CHANGES);
        mirror.apply(lost, known, NOW);
        long startNanos = System.nanoTime();
        mirror.load(copy, new StoreRevision(2, backedUp.number()), NOW);
        long millis = (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
        WatchResponse.Changes changes =
                (WatchResponse.Changes) mirror.changesAfter(known, false).orElseThrow();
        System.out.printf(
                "restore with %d targets and %d VMs: merged in %d ms; %d changes, %d bytes to each"
                        + " follower; the whole copy has %d bytes%n",
                TARGETS,
                VMS,
                millis,
                changes.events().size(),
                StoreCalls.encode(changes).length(),
                StoreCalls.encode(mirror.snapshot()).length());
        assertEquals(changes.events().size(), LOST_CHANGES / 2);
        assertEquals(mirror.carriedOverCount(), LOST_CHANGES / 2);
    }

    private static StoredItem target(int number, long sequence, long revision) {
        return StoredItem.of(
                "servers/i-" + number,
                "{\"service\":\"x\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"version\":\"v1\","
                        + "\"slots\":3,\"state\":\"ready\",\"warmup_left_s\":0,\"seq_no\":"
                        + sequence
                        + "}",
                revision);
    }
}
