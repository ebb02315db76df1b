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
import org.dahliapass.standins.GatewayFixtures;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of the VMs that are advertised to callers in a large fleet of unequal VMs. */
public final class GatewayAddressPlanTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final List<String> ZONES = List.of("zone-b", "zone-c", "zone-d");
    private static final int VMS_PER_ZONE = 29;
    private static final int LARGE_PER_ZONE = 2;
    private static final VmCapacity LARGE = new VmCapacity(1.5, 140);
    private static final VmCapacity SMALL = new VmCapacity(0.3, 7);
    private static final int TARGETS = 244;

    /** The requests from one zone: a third of 730 requests/s. */
    private static final double REQUESTS_PER_SECOND = 243;

    /** The traffic of a request through a VM, in each direction. */
    private static final double MEGABITS_PER_REQUEST = 0.082;

    /** The processor time of a request. */
    private static final double CORE_SECONDS_PER_REQUEST = 0.003;

    private final Map<String, VmCapacity> mCapacities = new HashMap<>();
    private GatewayFixture mFixture;

    @BeforeMethod
    public void start() {
        mFixture = new GatewayFixture();
        mCapacities.clear();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        mFixture.close();
    }

    /**
     * Guards against a fleet that advertises VMs without regard to their capacity, so that small
     * VMs are overloaded while large ones are idle.
     */
    @Test
    public void advertisedVmsHaveCapacityForTheLoad() {
        registerFleet(LARGE_PER_ZONE);
        ZONES.forEach(zone -> GatewayFixture.await(() -> hasCapacity(zone)));
    }

    /** Without large VMs, many small VMs share the load. */
    @Test
    public void smallVmsShareTheLoadWithoutLargeVms() {
        registerFleet(0);
        ZONES.forEach(zone -> GatewayFixture.await(() -> hasCapacity(zone)));
    }

    /** A small load is concentrated on two VMs, which then observe most of the targets. */
    @Test
    public void smallLoadIsConcentratedOnLargeVms() {
        ZONES.forEach(zone -> registerZone(zone, LARGE_PER_ZONE));
        GatewayFixture.await(
                () ->
                        advertised("zone-b").stream()
                                .map(mCapacities::get)
                                .toList()
                                .equals(List.of(LARGE, LARGE)));
    }

    private boolean hasCapacity(String zone) {
        List<String> advertised = advertised(zone);
        double requests = REQUESTS_PER_SECOND / advertised.size();
        return !advertised.isEmpty()
                && advertised.stream()
                        .allMatch(name -> hasCapacityFor(mCapacities.get(name), requests));
    }

    /** Returns whether an even share of the load leaves a fifth of the capacity free. */
    private static boolean hasCapacityFor(VmCapacity capacity, double requests) {
        double maxUtilization = 0.8;
        return capacity != null
                && requests * CORE_SECONDS_PER_REQUEST <= maxUtilization * capacity.cores()
                && requests * MEGABITS_PER_REQUEST <= maxUtilization * capacity.linkMegabits();
    }

    private void registerFleet(int large) {
        ZONES.forEach(zone -> registerZone(zone, large));
        for (int number = 0; number < TARGETS; number++) {
            String target =
                    "{\"service\":\"x\",\"address\":\"10.9."
                            + number / 100
                            + "."
                            + number % 100
                            + ":80\",\"zone\":\"zone-b\",\"state\":\"ready\",\"slots\":3}";
            mFixture.mStore.put("servers/crowd-" + number, target);
        }
        mFixture.mStore.put("op/config", GatewayFixtures.configuration(2, "/r/"));
    }

    private void registerZone(String zone, int large) {
        for (int number = 0; number < VMS_PER_ZONE; number++) {
            VmCapacity capacity = number < large ? LARGE : SMALL;
            Endpoint address = new Endpoint("10." + ZONES.indexOf(zone) + ".0." + number, 80);
            FleetVm vm = new FleetVm(zone + "-" + number, zone, "r", address, address, capacity);
            mCapacities.put(address.toString(), capacity);
            mFixture.mStore.put(
                    VmEntry.key(vm.name()), new String(VmEntry.encode(vm), StandardCharsets.UTF_8));
        }
    }

    /** Returns the addresses that are advertised to the callers of a zone. */
    private List<String> advertised(String zone) {
        String response =
                CallerStandIn.get(
                        mFixture.mSettings.discovery(),
                        DiscoveryCalls.DISCOVERY_PATH + "?name=a.example&region=r&zone=" + zone);
        List<String> advertised = new ArrayList<>();
        try {
            JsonNode body = JSON.readTree(response.substring(response.indexOf('{')));
            body.path("addresses").forEach(address -> advertised.add(address.asText()));
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        return advertised;
    }
}
