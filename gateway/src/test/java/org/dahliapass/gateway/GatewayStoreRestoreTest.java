package org.dahliapass.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import org.dahliapass.kernel.ControlLoop;
import org.dahliapass.kernel.Kernel;
import org.dahliapass.model.routing.TargetRegistration;
import org.dahliapass.platform.QuarantineEntry;
import org.dahliapass.platform.RegistrationDocument;
import org.dahliapass.platform.VmEntry;
import org.dahliapass.standins.CallerStandIn;
import org.dahliapass.standins.GatewayFixtures;
import org.dahliapass.standins.MetadataTable;
import org.dahliapass.standins.SigningTargetStandIn;
import org.dahliapass.standins.SigningTargetStandIn.Behaviour;
import org.testng.annotations.Test;

/** Tests of gateway VMs whose store is restored from an older copy. */
public final class GatewayStoreRestoreTest {
    private static final String CONFIGURATION = "op/config";

    /** Enough that the store doesn't reach its revision of before the restore again. */
    private static final int LOST_WRITES = 500;

    /** More than the VMs that watch the store, so that some follow others. */
    private static final int VMS = 5;

    /** Guards against a configuration that is ignored because its revision is lower than before. */
    @Test
    public void configurationWrittenAfterRestoreIsInForce() {
        try (GatewayFixture fixture = new GatewayFixture()) {
            MetadataTable.Backup backup = fixture.mStore.backup();
            for (int write = 0; write < LOST_WRITES; write++) {
                fixture.mStore.put("op/other", "value " + write);
            }
            fixture.mStore.put(CONFIGURATION, GatewayFixtures.configuration(2, "/second/"));
            awaitServed(fixture, "/second/");
            fixture.mStore.restore(backup);
            fixture.mStore.put(CONFIGURATION, GatewayFixtures.configuration(3, "/third/"));
            awaitServed(fixture, "/third/");
        }
    }

    /** Guards against a configuration that is missed because its revision was given out before. */
    @Test
    public void configurationWithReusedRevisionIsInForce() {
        try (GatewayFixture fixture = new GatewayFixture()) {
            MetadataTable.Backup backup = fixture.mStore.backup();
            fixture.mStore.put(CONFIGURATION, GatewayFixtures.configuration(2, "/second/"));
            awaitServed(fixture, "/second/");
            long revision = fixture.mStore.revision();
            fixture.mStore.restore(backup);
            fixture.mStore.put(CONFIGURATION, GatewayFixtures.configuration(3, "/third/"));
            while (fixture.mStore.revision() < revision) {
                fixture.mStore.put("op/other", "value");
            }
            awaitServed(fixture, "/third/");
        }
    }

    /** Guards against VMs that follow another one and miss its state after a restore. */
    @Test
    public void configurationWrittenAfterRestoreReachesFollowers() {
        try (FleetFixture fleet = new FleetFixture(1)) {
            for (int vm = 1; vm < VMS; vm++) {
                fleet.startUnadvertisedVm();
            }
            MetadataTable.Backup backup = fleet.mStore.backup();
            fleet.mStore.put(CONFIGURATION, GatewayFixtures.configuration(2, "/second/"));
            awaitServed(fleet, VMS, "/second/");
            long revision = fleet.mStore.revision();
            fleet.mStore.restore(backup);
            fleet.mStore.put(CONFIGURATION, GatewayFixtures.configuration(3, "/third/"));
            while (fleet.mStore.revision() < revision) {
                fleet.mStore.put("op/other", "value");
            }
            awaitServed(fleet, VMS, "/third/");
        }
    }

    /** Guards against a target that gets requests again because the copy says that it is ready. */
    @Test
    public void leavingTargetIsStillLeavingAfterRestore() {
        try (GatewayFixture fixture = new GatewayFixture()) {
            MetadataTable.Backup backup = fixture.mStore.backup();
            SigningTargetStandIn target = fixture.mTargets.get(0);
            fixture.mStore.put(
                    target.key(),
                    target.registration("x", "draining").replace("\"seq_no\":1", "\"seq_no\":2"));
            awaitRestored(fixture, backup);
            assertTrue(target(fixture, target).orElseThrow().draining());
        }
    }

    /** Guards against a target that gets requests again because the copy still has its entry. */
    @Test
    public void removedTargetIsStillRemovedAfterRestore() {
        try (GatewayFixture fixture = new GatewayFixture()) {
            MetadataTable.Backup backup = fixture.mStore.backup();
            SigningTargetStandIn target = fixture.mTargets.get(0);
            fixture.mStore.remove(target.key());
            awaitRestored(fixture, backup);
            assertEquals(target(fixture, target), Optional.empty());
        }
    }

    private static void awaitRestored(GatewayFixture fixture, MetadataTable.Backup backup) {
        fixture.mStore.put(CONFIGURATION, GatewayFixtures.configuration(2, "/second/"));
        awaitServed(fixture, "/second/");
        fixture.mStore.restore(backup);
        fixture.mStore.put(CONFIGURATION, GatewayFixtures.configuration(3, "/third/"));
        awaitServed(fixture, "/third/");
    }

    /** Returns the registration of a target as the VM knows it. */
    private static Optional<TargetRegistration> target(
            GatewayFixture fixture, SigningTargetStandIn target) {
        Kernel kernel = fixture.mVm.kernel();
        StoreFollower follower = kernel.find(StoreFollower.NAME, StoreFollower.class);
        String instance = RegistrationDocument.instance(target.key());
        return kernel.find(ControlLoop.NAME, ControlLoop.class)
                .submit(() -> Optional.ofNullable(follower.targets().get(instance)))
                .join();
    }

    /** Guards against a VM that starts after the restore and serves only what the copy holds. */
    @Test(groups = "known-red")
    public void vmThatStartsAfterRestoreServesTheNewestConfiguration() {
        try (FleetFixture fleet = new FleetFixture(1)) {
            for (int vm = 1; vm < VMS - 1; vm++) {
                fleet.startUnadvertisedVm();
            }
            MetadataTable.Backup backup = fleet.mStore.backup();
            fleet.mStore.put(CONFIGURATION, GatewayFixtures.configuration(2, "/second/"));
            awaitServed(fleet, VMS - 1, "/second/");
            fleet.mStore.restore(backup);
            for (int number = 0; number < VMS - 1; number++) {
                int vm = number;
                GatewayFixture.await(() -> fleet.metrics(vm).contains("store_epoch 2.0"));
            }
            fleet.startUnadvertisedVm();
            awaitServed(fleet, VMS, "/second/");
        }
    }

    /** Guards against a VM that renews its lease while the store lacks the entry under it. */
    @Test
    public void missingOwnEntryIsWrittenAgain() {
        try (GatewayFixture fixture = new GatewayFixture()) {
            GatewayFixture.await(() -> fixture.mStore.keys(VmEntry.PREFIX).size() == 1);
            String key = fixture.mStore.keys(VmEntry.PREFIX).get(0);
            fixture.mStore.remove(key);
            GatewayFixture.await(() -> fixture.mStore.keys(VmEntry.PREFIX).contains(key));
        }
    }

    /** Guards against VMs whose leases and entries are gone with the restore. */
    @Test
    public void ownEntriesLostInARestoreAreWrittenAgain() {
        try (FleetFixture fleet = new FleetFixture(1)) {
            MetadataTable.Backup backup = fleet.mStore.backup();
            for (int vm = 1; vm < VMS; vm++) {
                fleet.startUnadvertisedVm();
            }
            fleet.mStore.restore(backup);
            GatewayFixture.await(() -> fleet.mStore.keys(VmEntry.PREFIX).size() == VMS);
        }
    }

    /** Guards against a quarantine that VMs which start later don't learn of. */
    @Test
    public void quarantineLostInARestoreIsWrittenAgain() {
        try (FleetFixture fleet = new FleetFixture(1)) {
            MetadataTable.Backup backup = fleet.mStore.backup();
            fleet.behave(
                    request ->
                            request.requestLine().contains("/l/poison")
                                    ? Behaviour.CRASH
                                    : Behaviour.RESPOND);
            awaitQuarantined(fleet);
            fleet.mStore.restore(backup);
            assertEquals(fleet.mStore.keys(QuarantineEntry.PREFIX).size(), 0);
            awaitQuarantined(fleet);
        }
    }

    private static void awaitQuarantined(FleetFixture fleet) {
        GatewayFixture.await(
                () -> {
                    fleet.post(0, "/l/poison", "body");
                    return fleet.mStore.keys(QuarantineEntry.PREFIX).size() == 1;
                });
    }

    private static void awaitServed(GatewayFixture fixture, String path) {
        GatewayFixture.await(() -> CallerStandIn.status(fixture.get(path)) == 200);
    }

    private static void awaitServed(FleetFixture fleet, int vms, String path) {
        for (int number = 0; number < vms; number++) {
            int vm = number;
            GatewayFixture.await(() -> CallerStandIn.status(fleet.get(vm, path)) == 200);
        }
    }
}
