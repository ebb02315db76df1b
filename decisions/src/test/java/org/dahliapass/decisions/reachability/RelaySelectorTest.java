package org.dahliapass.decisions.reachability;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.routing.FleetVm;
import org.dahliapass.model.routing.VmCapacity;
import org.testng.annotations.Test;

/** Tests of {@link RelaySelector}. */
public final class RelaySelectorTest {
    private static final FleetVm SELF = vm("self");
    private static final FleetVm FIRST = vm("first");
    private static final FleetVm SECOND = vm("second");
    private static final FleetVm SPARE = vm("spare");
    private static final FleetVm CUT = vm("cut").withReachesTargets(false);
    private static final List<FleetVm> SERVING = List.of(SELF, FIRST, SECOND, CUT);
    private static final List<FleetVm> ALL = List.of(SELF, FIRST, SECOND, CUT, SPARE);

    private final RelaySelector mSelector = new RelaySelector("self", new SplittableRandom(1));

    /** Guards against requests that are passed to VMs without a path, or to the VM itself. */
    @Test
    public void servingVmsThatReachTargetsShareTheRequests() {
        List<String> names = new ArrayList<>();
        for (int number = 0; number < 100; number++) {
            names.add(mSelector.select(SERVING, ALL, Set.of(), 0).orElseThrow().name());
        }
        assertEquals(new HashSet<>(names), Set.of("first", "second"));
        long first = names.stream().filter("first"::equals).count();
        assertTrue(first > 30 && first < 70, first + " of 100");
    }

    @Test
    public void vmThatDoesNotServeCallersIsTheLastResort() {
        assertEquals(
                mSelector.select(SERVING, ALL, Set.of("first", "second"), 0), Optional.of(SPARE));
        assertEquals(
                mSelector.select(SERVING, ALL, Set.of("first", "second", "spare"), 0),
                Optional.empty());
    }

    /** Guards against requests that each find out anew that a VM is gone. */
    @Test
    public void unavailableVmIsAvoidedForAWhile() {
        RelaySelector selector = new RelaySelector("self", new SplittableRandom(1));
        selector.onUnavailable("first", 1_000);
        selector.onUnavailable("spare", 1_000);
        assertEquals(selector.select(SERVING, ALL, Set.of("second"), 1_999), Optional.empty());
        assertEquals(selector.select(SERVING, ALL, Set.of("second"), 2_000), Optional.of(FIRST));
    }

    private static FleetVm vm(String name) {
        Endpoint address = new Endpoint(name, 80);
        return new FleetVm(name, "zone", "region", address, address, VmCapacity.DEFAULT);
    }
}
