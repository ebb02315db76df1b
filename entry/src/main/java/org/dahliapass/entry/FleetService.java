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

/** Runs the membership on the control thread and publishes the fleet as traffic threads see it. */
public final class FleetService implements KernelService {
    /** The name under which the kernel holds the service. */
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
     * The members and the cells that were planned from them, so that an ask costs no planning.
     *
     * @param members the members
     * @param cells the cells planned so far
     */
    private record CellPlan(List<MemberUpdate> members, Map<CellKey, List<MemberUpdate>> cells) {}

    /**
     * A cell of a certain size.
     *
     * @param service the service
     * @param size the number of VMs
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

    /** Adds what is run on the control thread after each change of the fleet; before the start. */
    void onChange(Runnable listener) {
        mListeners.add(listener);
    }

    /** Returns the fleet. */
    FleetView view() {
        return mView;
    }

    /** Returns whether this VM has begun to leave. */
    boolean isLeaving() {
        return mLeaving;
    }

    /** Returns the cell of a service in order of rank. */
    List<Vm> cellOf(ServiceTemplate template) {
        return cellOf(template.id(), template.cellSize());
    }

    /** Returns the cell of a service in order of rank. */
    List<Vm> cellOf(ServiceId service, int size) {
        return membersOf(service, size).stream().map(MemberUpdate::vm).toList();
    }

    /** Returns the cell of a service with the members' states; planned once for each fleet. */
    List<MemberUpdate> membersOf(ServiceId service, int size) {
        CellPlan planned = mCellPlan;
        return planned.cells()
                .computeIfAbsent(
                        new CellKey(service, size),
                        key -> CellPlanner.plan(service, size, planned.members()));
    }

    /** Returns whether this VM serves a service, also while it is leaving; control thread only. */
    boolean isInCell(ServiceId service, int size) {
        return mCells.isInCell(service, size);
    }

    /** Returns this VM's rank in a service's cell; -1 if it isn't in it. */
    int rankInCell(ServiceTemplate template) {
        List<Vm> cell = cellOf(template);
        for (int place = 0; place < cell.size(); place++) {
            if (cell.get(place).identity().equals(mView.self().identity())) {
                return place;
            }
        }
        return -1;
    }

    /** Returns which share of the VMs was heard within the window; control thread only. */
    double heardFraction(List<VmIdentity> vms, Duration window) {
        return mMembership.heardFraction(vms, mLoop.nowMillis(), window.toMillis());
    }

    /** Returns the lives that are members; safe on any thread, empty before the start. */
    Set<VmIdentity> memberIdentities() {
        return mIdentities;
    }

    /** Sets the number of the newest configuration change; control thread only. */
    void setHeadNumber(long number) {
        mMembership.setHeadNumber(number);
    }

    /** Takes a datagram; control thread only. */
    void onGossip(GossipMessage message) {
        execute(mMembership.onGossip(message, mLoop.nowMillis()));
    }

    /** Notes that a VM was heard by a request or reply; control thread only. */
    void onHeard(VmIdentity identity) {
        mMembership.onHeard(identity, mLoop.nowMillis());
    }

    /** Answers another VM's request for the member list; control thread only. */
    List<MemberUpdate> onJoin(JoinRequest request) {
        JoinResponse answer = mMembership.onJoinRequest(request, mLoop.nowMillis());
        execute(answer.actions());
        return answer.members();
    }

    /** Enters this VM into the platform's list, for platforms that leave that to the VM. */
    CompletableFuture<Void> register(boolean leaving) {
        MemberUpdate self = mMembership.self();
        return mVmList.register(new ListedVm(self.vm(), self.operators(), leaving));
    }

    /** Takes this VM out of the platform's list. */
    CompletableFuture<Void> deregister() {
        return mVmList.deregister(mView.self().identity().name());
    }

    /** Tells the fleet that this VM leaves; asks no longer name it. */
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

    /**
     * Takes all changes of a tick together.
     *
     * <p>Guards against a snapshot and a round of listeners for each datagram, which would show as
     * seconds of processor time while a whole zone is being lost.
     */
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
        List<Vm> usable = new ArrayList<>();
        List<FleetMember> all = new ArrayList<>();
        for (MemberUpdate member : members) {
            counts.merge(member.state(), 1, Integer::sum);
            if (member.state() == MemberState.ALIVE) {
                usable.add(member.vm());
            }
            String state = member.state().name().toLowerCase(Locale.ROOT);
            all.add(new FleetMember(member.vm(), member.operators(), state));
        }
        mCellPlan = new CellPlan(List.copyOf(members), new ConcurrentHashMap<>());
        mCells.updateMembers(zonesByVm(members));
        mIdentities = PeerLink.identities(members);
        mView = new FleetView(mMembership.self().vm(), usable, all);
        for (MemberState state : MemberState.values()) {
            String name = state.name().toLowerCase(Locale.ROOT);
            mMetrics.onMemberCount(name, counts.getOrDefault(state, 0));
        }
    }

    /** A VM that leaves is in no cell for the others, but keeps what it serves until it stops. */
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
