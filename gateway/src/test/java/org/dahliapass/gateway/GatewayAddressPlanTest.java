package org.dahliapass.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.routing.FleetVm;
import org.dahliapass.model.routing.VmCapacity;
import org.dahliapass.platform.DiscoveryCalls;
import org.dahliapass.platform.VmEntry;
import org.dahliapass.standins.CallerStandIn;
import org.dahliapass.standins.GatewaySample;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of whom a VM names to callers in a large fleet of unequal VMs. */
public final class GatewayAddressPlanTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final List<String> ZONES = List.of("zone-b", "zone-c", "zone-d");
    private static final int VMS_PER_ZONE = 29;
    private static final int LARGE_PER_ZONE = 2;
    private static final VmCapacity LARGE = new VmCapacity(1.5, 140);
    private static final VmCapacity SMALL = new VmCapacity(0.3, 7);
    private static final int TARGETS = 244;

    /** What callers of one zone send: a third of 730 requests/s. */
    private static final double REQUESTS_PER_SECOND = 243;

    /** Answers and bodies of that load on the way through a VM, each way: 60 Mbit/s for 730/s. */
    private static final double MEGABITS_A_REQUEST = 0.082;

    /** Processor time of a request at a VM that is warm, by the load that it was seen to bear. */
    private static final double CORE_SECONDS_A_REQUEST = 0.003;

    private final Map<String, VmCapacity> mCapacities = new HashMap<>();
    private GatewayFixture mPath;

    @BeforeMethod
    public void start() {
        mPath = new GatewayFixture();
        mCapacities.clear();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        mPath.close();
    }

    /**
     * Callers give up on most requests while the fleet looks idle. Each zone's callers are sent to
     * two of its 29 VMs, chosen by a hash of their names whatever they can carry: mostly to VMs
     * with a fifth of the processor and a twentieth of the link of the largest two. On a quiet day
     * 0.30 of the requests were served, in the first two seconds 0.74 of the worth and from the
     * sixth on 0.01. Of eight VMs that took callers the one large VM answered 696 of its 732
     * requests, the seven small ones 200 to 324 of about 550.
     */
    @Test
    public void callersAreSentToVmsThatCarryThem() {
        enterFleet(LARGE_PER_ZONE);
        ZONES.forEach(zone -> GatewayFixture.await(() -> isCarried(zone)));
    }

    /** The same after the large VMs of all zones are lost: many small ones carry the load. */
    @Test
    public void smallVmsShareTheLoadOnceTheLargeAreGone() {
        enterFleet(0);
        ZONES.forEach(zone -> GatewayFixture.await(() -> isCarried(zone)));
    }

    /** Callers of a small load stay at two VMs, which then see most of what the targets do. */
    @Test
    public void fewCallersStayTogether() {
        ZONES.forEach(zone -> enterZone(zone, LARGE_PER_ZONE));
        GatewayFixture.await(
                () ->
                        named("zone-b").stream()
                                .map(mCapacities::get)
                                .toList()
                                .equals(List.of(LARGE, LARGE)));
    }

    private boolean isCarried(String zone) {
        List<String> named = named(zone);
        double requests = REQUESTS_PER_SECOND / named.size();
        return !named.isEmpty()
                && named.stream().allMatch(name -> carries(mCapacities.get(name), requests));
    }

    /** Returns whether an even share of a zone's requests leaves a VM a fifth of its capacity. */
    private static boolean carries(VmCapacity capacity, double requests) {
        double most = 0.8;
        return capacity != null
                && requests * CORE_SECONDS_A_REQUEST <= most * capacity.cores()
                && requests * MEGABITS_A_REQUEST <= most * capacity.linkMegabits();
    }

    private void enterFleet(int large) {
        ZONES.forEach(zone -> enterZone(zone, large));
        for (int number = 0; number < TARGETS; number++) {
            String target =
                    "{\"service\":\"x\",\"address\":\"10.9."
                            + number / 100
                            + "."
                            + number % 100
                            + ":80\",\"zone\":\"zone-b\",\"state\":\"ready\",\"slots\":3}";
            mPath.mStore.put("servers/crowd-" + number, target);
        }
        mPath.mStore.put("op/config", GatewaySample.configuration(2, "/r/"));
    }

    private void enterZone(String zone, int large) {
        for (int number = 0; number < VMS_PER_ZONE; number++) {
            VmCapacity capacity = number < large ? LARGE : SMALL;
            Endpoint address = new Endpoint("10." + ZONES.indexOf(zone) + ".0." + number, 80);
            FleetVm vm = new FleetVm(zone + "-" + number, zone, "r", address, address, capacity);
            mCapacities.put(address.toString(), capacity);
            mPath.mStore.put(
                    VmEntry.key(vm.name()), new String(VmEntry.encode(vm), StandardCharsets.UTF_8));
        }
    }

    /** Returns the addresses that callers of a zone are told to use. */
    private List<String> named(String zone) {
        String answer =
                CallerStandIn.read(
                        mPath.mSettings.discovery(),
                        DiscoveryCalls.DISCOVERY_PATH + "?name=a.example&region=r&zone=" + zone);
        List<String> named = new ArrayList<>();
        try {
            JsonNode body = JSON.readTree(answer.substring(answer.indexOf('{')));
            body.path("addresses").forEach(address -> named.add(address.asText()));
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        return named;
    }
}
