package org.dahliapass.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.dahliapass.decisions.configuration.ChangeRecord;
import org.dahliapass.decisions.configuration.CustomerGroup;
import org.dahliapass.decisions.configuration.FollowerPeers;
import org.dahliapass.decisions.configuration.ServiceUse;
import org.dahliapass.decisions.configuration.Watchers;
import org.dahliapass.model.ServiceId;
import org.dahliapass.model.Vm;
import org.dahliapass.model.VmIdentity;

/** Selects the members from which the configuration follower fetches; control thread only. */
final class ConfigurationPeers implements FollowerPeers {
    private static final int MAX_SOURCES = 4;

    private final FleetService mFleet;
    private final Supplier<Map<ServiceId, Integer>> mCellSizes;

    ConfigurationPeers(FleetService fleet, Supplier<Map<ServiceId, Integer>> cellSizes) {
        mFleet = fleet;
        mCellSizes = cellSizes;
    }

    @Override
    public boolean serves(ServiceId service) {
        Integer size = mCellSizes.get().get(service);
        return size != null && mFleet.isInCell(service, size);
    }

    @Override
    public List<VmIdentity> members() {
        return others(mFleet.view().members());
    }

    @Override
    public List<VmIdentity> groupSources(CustomerGroup group) {
        if (group.service().isPresent()) {
            return cell(group.service().get());
        }
        List<VmIdentity> members = members();
        List<VmIdentity> sources = new ArrayList<>();
        int start = members.isEmpty() ? 0 : Math.floorMod(self().hashCode(), members.size());
        for (int step = 0; step < Math.min(MAX_SOURCES, members.size()); step++) {
            sources.add(members.get((start + step) % members.size()));
        }
        return sources;
    }

    @Override
    public List<VmIdentity> textSources(ChangeRecord record) {
        String zone = mFleet.view().self().availabilityZone();
        List<VmIdentity> sources = new ArrayList<>(Watchers.ofZone(zone, mFleet.view().members()));
        for (ServiceUse use : record.services()) {
            for (VmIdentity peer : cell(use.service())) {
                if (!sources.contains(peer)) {
                    sources.add(peer);
                }
            }
        }
        sources.remove(self());
        return sources;
    }

    @Override
    public int storeRank(CustomerGroup group) {
        List<VmIdentity> candidates =
                new ArrayList<>(
                        group.service().isPresent() ? cell(group.service().get()) : members());
        candidates.add(self());
        candidates.sort(null);
        return candidates.indexOf(self());
    }

    private List<VmIdentity> cell(ServiceId service) {
        return Optional.ofNullable(mCellSizes.get().get(service))
                .map(size -> others(mFleet.cellOf(service, size)))
                .orElse(List.of());
    }

    private VmIdentity self() {
        return mFleet.view().self().identity();
    }

    private List<VmIdentity> others(List<Vm> vms) {
        return vms.stream().map(Vm::identity).filter(id -> !id.equals(self())).toList();
    }
}
