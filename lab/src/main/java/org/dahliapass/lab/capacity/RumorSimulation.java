package org.dahliapass.lab.capacity;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.dahliapass.decisions.configuration.ChangeRecord;
import org.dahliapass.decisions.configuration.ConfigurationFollower;
import org.dahliapass.decisions.configuration.CustomerGroup;
import org.dahliapass.decisions.configuration.FollowerAction;
import org.dahliapass.decisions.configuration.FollowerPeers;
import org.dahliapass.decisions.configuration.FollowerSettings;
import org.dahliapass.decisions.configuration.Head;
import org.dahliapass.decisions.configuration.Watchers;
import org.dahliapass.model.ServiceId;
import org.dahliapass.model.VmIdentity;

/**
 * Simulates the spread of one change from the watchers to the followers of all VMs by rumor alone.
 */
final class RumorSimulation {
    private static final long SEED = 9;

    /**
     * The result of a simulation.
     *
     * @param hops hops to the last VM that the rumor reached; 0 is a watcher
     * @param messages rumors that all VMs sent
     * @param reached share of the VMs that the rumor reached; the others learn of the change by
     *     pings
     */
    record Result(int hops, long messages, double reached) {}

    private record Rumor(int vm, int hops, List<ChangeRecord> records) {}

    private final List<VmIdentity> mMembers = new ArrayList<>();
    private final Map<VmIdentity, Integer> mNumbers = new HashMap<>();
    private final List<ConfigurationFollower> mFollowers = new ArrayList<>();
    private final Deque<Rumor> mInFlight = new ArrayDeque<>();
    private long mMessages;

    /** Peers that know all members and serve no service. */
    private final class Peers implements FollowerPeers {
        @Override
        public boolean serves(ServiceId service) {
            return false;
        }

        @Override
        public List<VmIdentity> members() {
            return mMembers;
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
            return Integer.MAX_VALUE;
        }
    }

    private RumorSimulation(int vms) {
        SplittableRandom random = new SplittableRandom(SEED);
        for (int vm = 0; vm < vms; vm++) {
            mMembers.add(SampleFleet.identity(vm));
            mNumbers.put(SampleFleet.identity(vm), vm);
            mFollowers.add(
                    new ConfigurationFollower(
                            FollowerSettings.DEFAULTS,
                            new Peers(),
                            text -> Optional.empty(),
                            random.split()));
        }
    }

    /** Simulates a fleet of the given size. */
    static Result simulate(int vms) {
        return new RumorSimulation(vms).run(vms);
    }

    private Result run(int vms) {
        List<ChangeRecord> change = SampleDirectory.providers(1);
        for (int zone = 0; zone < SampleFleet.ZONES; zone++) {
            for (int watcher = 0; watcher < Watchers.PER_ZONE; watcher++) {
                int vm = zone + watcher * SampleFleet.ZONES;
                send(mFollowers.get(vm).onHead(new Head(1, change), 0), 1);
            }
        }
        int hops = 0;
        while (!mInFlight.isEmpty()) {
            Rumor rumor = mInFlight.remove();
            ConfigurationFollower follower = mFollowers.get(rumor.vm());
            hops = follower.headNumber() == 0 ? rumor.hops() : hops;
            send(follower.onRumor(rumor.records(), 0), rumor.hops() + 1);
        }
        long reached = mFollowers.stream().filter(follower -> follower.headNumber() == 1).count();
        return new Result(hops, mMessages, (double) reached / vms);
    }

    private void send(List<FollowerAction> actions, int hops) {
        for (FollowerAction action : actions) {
            if (action instanceof FollowerAction.SendRumor rumor) {
                for (VmIdentity member : rumor.members()) {
                    mMessages++;
                    mInFlight.add(new Rumor(mNumbers.get(member), hops, rumor.records()));
                }
            }
        }
    }
}
