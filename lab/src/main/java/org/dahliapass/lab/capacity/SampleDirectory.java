package org.dahliapass.lab.capacity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.dahliapass.decisions.assignment.CellMembership;
import org.dahliapass.decisions.configuration.ChangeRecord;
import org.dahliapass.decisions.configuration.ConfigurationFollower;
import org.dahliapass.decisions.configuration.CustomerGroup;
import org.dahliapass.decisions.configuration.FollowerPeers;
import org.dahliapass.decisions.configuration.FollowerSettings;
import org.dahliapass.decisions.configuration.GroupSnapshot;
import org.dahliapass.decisions.configuration.RecordsResponse;
import org.dahliapass.decisions.configuration.ServiceUse;
import org.dahliapass.model.ServiceId;
import org.dahliapass.model.VmIdentity;

/** A VM's directory of services: its configuration follower and its cell membership. */
final class SampleDirectory {
    private static final int CELL = 6;
    private static final long SEED = 5;

    private final CellMembership mCells =
            new CellMembership(SampleFleet.identity(0).name(), SampleFleet.zone(0));
    private final Map<String, String> mZones = new HashMap<>();
    private final ConfigurationFollower mFollower;
    private int mToggles;

    /** Peers without sources, which serve the services of the own cells. */
    private final class Peers implements FollowerPeers {
        @Override
        public boolean serves(ServiceId service) {
            return mCells.isInCell(service, CELL);
        }

        @Override
        public List<VmIdentity> members() {
            return List.of();
        }

        @Override
        public List<VmIdentity> groupSources(CustomerGroup group) {
            return List.of();
        }

        @Override
        public List<VmIdentity> textSources(ChangeRecord record) {
            return List.of();
        }

        @Override
        public int storeRank(CustomerGroup group) {
            return 0;
        }
    }

    /** Creates an empty directory in a fleet of the given number of members. */
    SampleDirectory(int members) {
        for (int vm = 0; vm < members; vm++) {
            mZones.put(SampleFleet.identity(vm).name(), SampleFleet.zone(vm));
        }
        mCells.updateMembers(mZones);
        mFollower =
                new ConfigurationFollower(
                        FollowerSettings.DEFAULTS,
                        new Peers(),
                        text -> Optional.empty(),
                        new SplittableRandom(SEED));
    }

    /** Returns one change record for each of the given number of providers. */
    static List<ChangeRecord> providers(int services) {
        List<ChangeRecord> records = new ArrayList<>();
        for (int number = 1; number <= services; number++) {
            String provider = "provider-" + number;
            ServiceUse use = new ServiceUse(new ServiceId(provider, "service-" + number), CELL);
            records.add(
                    new ChangeRecord(
                            number,
                            provider,
                            "0123456789abcdef" + (1_000_000_000_000_000L + number),
                            List.of(use),
                            "0f8fad5b-d9cb-469f-a165-" + (100_000_000_000L + number),
                            "operator-7",
                            0));
        }
        return records;
    }

    /** Loads the full directory from a peer, like a VM that starts. */
    SampleDirectory fill(List<ChangeRecord> providers) {
        GroupSnapshot snapshot = new GroupSnapshot(CustomerGroup.PROVIDERS, providers);
        mFollower.onAnswer(
                new RecordsResponse(1, providers.size(), List.of(), List.of(snapshot)), 0);
        if (mFollower.cellSizes().size() != providers.size()) {
            throw new IllegalStateException("The follower didn't load all sample providers.");
        }
        return this;
    }

    /** Removes or restores a member of the VM's zone and checks all cells like the VM. */
    void toggleMember() {
        int vm = SampleFleet.ZONES * (1 + mToggles / 2 % 10);
        mToggles++;
        String name = SampleFleet.identity(vm).name();
        if (mZones.remove(name) == null) {
            mZones.put(name, SampleFleet.zone(vm));
        }
        mCells.updateMembers(mZones);
        mFollower.onMembersChanged(0);
    }
}
