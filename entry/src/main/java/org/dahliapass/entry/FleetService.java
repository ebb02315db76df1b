package org.dahliapass.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;
import org.dahliapass.decisions.assignment.CellMembership;
import org.dahliapass.decisions.assignment.CellPlanner;
import org.dahliapass.decisions.membership.GossipMessage;
import org.dahliapass.decisions.membership.JoinRequest;
import org.dahliapass.decisions.membership.JoinResponse;
import org.dahliapass.decisions.membership.MemberState;
import org.dahliapass.decisions.membership.MemberUpdate;
import org.dahliapass.decisions.membership.Membership;
import org.dahliapass.decisions.membership.MembershipAction;
import org.dahliapass.kernel.ComponentLog;
import org.dahliapass.kernel.ControlLoop;
import org.dahliapass.kernel.Futures;
import org.dahliapass.kernel.Kernel;
import org.dahliapass.kernel.KernelService;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.ServiceId;
import org.dahliapass.model.ServiceTemplate;
import org.dahliapass.model.Vm;
import org.dahliapass.model.VmIdentity;
import org.dahliapass.registry.ListedVm;
import org.dahliapass.registry.VmListClient;
import org.dahliapass.traffic.EntryMetrics;

/** Runs the membership protocol on the control thread and publishes fleet snapshots. */
public final class FleetService implements KernelService {
    /** The name under which the service is registered with the kernel. */
    public static final String NAME = "fleet";

    private static final ComponentLog LOG = ComponentLog.of("fleet");
    private static final Duration TICK_PERIOD = Duration.ofMillis(100);

    private final VmIdentity mIdentity;
    private final VmSettings mSettings;
    private final RandomGenerator mRandom;
    private ControlLoop mLoop;
    private Membership mMembership;
    private GossipLink mLink;
    private final VmListClient mVmList;
    private EntryMetrics mMetrics;
    private final Runnable mOnReplaced;
    private final List<Runnable> mListeners = new ArrayList<>();
    private volatile FleetView mView;
    private CellMembership mCells;
    private volatile CellPlan mCellPlan = new CellPlan(List.of(), Map.of());
    private volatile Set<VmIdentity> mIdentities = Set.of();
    private boolean mChanged;
    private VmListReader mListReader;
    private volatile boolean mLeaving;

    /**
     * A cache of the cells of one set of members.
     *
     * @param members the members
     * @param cells the cells planned so far
     */
    private record CellPlan(List<MemberUpdate> members, Map<CellKey, List<MemberUpdate>> cells) {}

    /**
     * The key of a planned cell.
     *
     * @param service the service
     * @param size the number of VMs in the cell
     */
    private record CellKey(ServiceId service, int size) {}

    FleetService(
            VmIdentity identity,
            VmSettings settings,
            RandomGenerator random,
            VmListClient vmList,
            Runnable replaced) {
        mIdentity = identity;
        mSettings = settings;
        mRandom = random;
        mVmList = vmList;
        mOnReplaced = replaced;
    }

    /** Adds a listener, called on the control thread after fleet changes; only before the start. */
    void onChange(Runnable listener) {
        mListeners.add(listener);
    }

    /** Returns the current fleet snapshot. */
    FleetView view() {
        return mView;
    }

    /** Returns whether this VM is leaving. */
    boolean isLeaving() {
        return mLeaving;
    }

    /** Returns the VMs of a service's cell in order of rank. */
    List<Vm> cellOf(ServiceTemplate template) {
        return cellOf(template.id(), template.cellSize());
    }

    /** Returns the VMs of a service's cell in order of rank. */
    List<Vm> cellOf(ServiceId service, int size) {
        return membersOf(service, size).stream().map(MemberUpdate::vm).toList();
    }

    /** Returns the members of a service's cell with their states, in order of rank. */
    List<MemberUpdate> membersOf(ServiceId service, int size) {
        CellPlan plan = mCellPlan;
        return plan.cells()
                .computeIfAbsent(
                        new CellKey(service, size),
                        key -> CellPlanner.plan(service, size, plan.members()));
    }

    /** Returns whether this VM serves a service, even while leaving; control thread only. */
    boolean isInCell(ServiceId service, int size) {
        return mCells.isInCell(service, size);
    }

    /** Returns this VM's rank in a service's cell, or -1 if it is not in the cell. */
    int rankInCell(ServiceTemplate template) {
        List<Vm> cell = cellOf(template);
        for (int rank = 0; rank < cell.size(); rank++) {
            if (cell.get(rank).identity().equals(mView.self().identity())) {
                return rank;
            }
        }
        return -1;
    }

    /** Returns the fraction of VMs heard from within the window; control thread only. */
    double heardFraction(List<VmIdentity> vms, Duration window) {
        return mMembership.heardFraction(vms, mLoop.nowMillis(), window.toMillis());
    }

    /** Returns the identities of all members, empty before the start; safe on any thread. */
    Set<VmIdentity> memberIdentities() {
        return mIdentities;
    }

    /** Sets the number of the newest configuration change; control thread only. */
    void setHeadNumber(long number) {
        mMembership.setHeadNumber(number);
    }

    /** Handles a datagram; control thread only. */
    void onGossip(GossipMessage message) {
        execute(mMembership.onGossip(message, mLoop.nowMillis()));
    }

    /** Records contact with a VM; control thread only. */
    void onHeard(VmIdentity identity) {
        mMembership.onHeard(identity, mLoop.nowMillis());
    }

    /** Handles another VM's request for the member list; control thread only. */
    List<MemberUpdate> onJoin(JoinRequest request) {
        JoinResponse response = mMembership.onJoinRequest(request, mLoop.nowMillis());
        execute(response.actions());
        return response.members();
    }

    /** Registers this VM in the platform's VM list. */
    CompletableFuture<Void> register(boolean leaving) {
        MemberUpdate self = mMembership.self();
        return mVmList.register(new ListedVm(self.vm(), self.operators(), leaving));
    }

    /** Removes this VM from the platform's VM list. */
    CompletableFuture<Void> deregister() {
        return mVmList.deregister(mView.self().identity().name());
    }

    /** Announces to the fleet that this VM leaves; discovery omits it from then on. */
    CompletableFuture<Void> leave() {
        return mLoop.submit(
                () -> {
                    mLeaving = true;
                    execute(mMembership.leave(mLoop.nowMillis()));
                    publish();
                    mListeners.forEach(Runnable::run);
                    return null;
                });
    }

    private void tick() {
        execute(mMembership.onTick(mLoop.nowMillis()));
        publishChanges();
    }

    private void execute(List<MembershipAction> actions) {
        boolean changed = false;
        for (MembershipAction action : actions) {
            if (action instanceof MembershipAction.SendGossip gossip) {
                mLink.send(gossip.to(), gossip.message());
            } else if (action instanceof MembershipAction.ExchangeMembers exchange) {
                exchange(exchange);
            } else if (action instanceof MembershipAction.MemberChanged change) {
                log(change);
                changed = true;
            } else if (action instanceof MembershipAction.Replaced replaced) {
                LOG.warn("Replaced by " + replaced.successor() + ". Stopping.");
                mOnReplaced.run();
            }
        }
        mChanged |= changed;
    }

    /** Batches the changes of a tick, to avoid a snapshot per datagram when a whole zone fails. */
    private void publishChanges() {
        if (mChanged) {
            mChanged = false;
            publish();
            mListeners.forEach(Runnable::run);
        }
    }

    private void exchange(MembershipAction.ExchangeMembers exchange) {
        Futures.whenDone(
                mLink.exchange(
                        exchange.peer(), exchange.recipientIncarnation(), exchange.request()),
                (members, failure) -> {
                    if (failure == null) {
                        mLoop.execute(() -> onExchanged(members));
                    }
                });
    }

    private void onExchanged(List<MemberUpdate> members) {
        execute(mMembership.onJoinReply(members, mLoop.nowMillis()));
    }

    private static void log(MembershipAction.MemberChanged change) {
        String before = change.before().map(update -> update.state().name()).orElse("unknown");
        LOG.info(
                change.after().identity()
                        + " is "
                        + change.after().state().name().toLowerCase(Locale.ROOT)
                        + ", was "
                        + before.toLowerCase(Locale.ROOT)
                        + ".");
    }

    private void publish() {
        List<MemberUpdate> members = mMembership.members();
        Map<MemberState, Integer> counts = new EnumMap<>(MemberState.class);
        List<Vm> alive = new ArrayList<>();
        List<FleetMember> all = new ArrayList<>();
        for (MemberUpdate member : members) {
            counts.merge(member.state(), 1, Integer::sum);
            if (member.state() == MemberState.ALIVE) {
                alive.add(member.vm());
            }
            String state = member.state().name().toLowerCase(Locale.ROOT);
            all.add(new FleetMember(member.vm(), member.operators(), state));
        }
        mCellPlan = new CellPlan(List.copyOf(members), new ConcurrentHashMap<>());
        mCells.updateMembers(zonesByVm(members));
        mIdentities = PeerLink.identities(members);
        mView = new FleetView(mMembership.self().vm(), alive, all);
        for (MemberState state : MemberState.values()) {
            String name = state.name().toLowerCase(Locale.ROOT);
            mMetrics.onMemberCount(name, counts.getOrDefault(state, 0));
        }
    }

    /** Includes this VM even while it leaves, since it serves until it stops. */
    private Map<String, String> zonesByVm(List<MemberUpdate> members) {
        Map<String, String> zones = new HashMap<>();
        zones.put(mIdentity.name(), mSettings.availabilityZone());
        for (MemberUpdate member : members) {
            if (member.state().isInCells()) {
                zones.put(member.identity().name(), member.vm().availabilityZone());
            }
        }
        return zones;
    }

    @Override
    public CompletableFuture<Void> start(Kernel kernel) {
        mLoop = kernel.find(ControlLoop.NAME, ControlLoop.class);
        mMetrics = kernel.find(EntryMetrics.NAME, EntryMetrics.class);
        PeerLink link = kernel.find(PeerLink.NAME, PeerLink.class);
        mLink = link;
        Vm self =
                new Vm(
                        mIdentity,
                        mSettings.availabilityZone(),
                        kernel.find(CallerServer.NAME, CallerServer.class).endpoint(),
                        link.endpoint());
        Endpoint operators = kernel.find(OperatorServer.NAME, OperatorServer.class).endpoint();
        MemberUpdate update = new MemberUpdate(self, operators, MemberState.ALIVE, 0);
        mMembership =
                new Membership(
                        FleetSettings.of(mSettings.gossipPeriod()).membership(),
                        update,
                        mRandom,
                        mLoop.nowMillis());
        mCells = new CellMembership(mIdentity.name(), mSettings.availabilityZone());
        publish();
        mLoop.scheduleWithFixedDelay(TICK_PERIOD, this::tick);
        mListReader =
                new VmListReader(
                        mVmList,
                        mLoop,
                        mRandom,
                        () -> mView.all().size() <= 1,
                        mMembership::setSeeds);
        mListReader.poll();
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Void> stop() {
        mListReader.stop();
        return CompletableFuture.completedFuture(null);
    }
}
