package org.dahliapass.decisions.configuration;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Function;
import org.dahliapass.model.ServiceId;
import org.dahliapass.model.VmIdentity;

/** A simulated fleet of followers, operators and a store, driven step by step. */
final class FuzzFleet {
    static final int VMS = 5;
    static final int CELL_SIZE = 3;
    static final int RING_CAPACITY = 3;
    static final List<String> CUSTOMERS = List.of("a", "b", "c");
    static final List<ServiceId> SERVICES =
            List.of(new ServiceId("a", "s"), new ServiceId("b", "s"));

    private static final int WATCHERS = 2;
    private static final long TICK_MILLIS = 100;
    private static final int MAX_RECOVERY_TICKS = 60;
    private static final int MAX_MESSAGES = 300;
    private static final FollowerSettings SETTINGS =
            new FollowerSettings(RING_CAPACITY, 2, 200, 10, 300, 4, 4);

    /** A message in transit to one VM incarnation. */
    private record Message(VmIdentity to, Function<Node, List<FollowerAction>> event) {}

    /** One VM incarnation. */
    private record Node(VmIdentity identity, int slot, ConfigurationFollower follower) {}

    /** An operator's command in progress. */
    private static final class Operator {
        private final String mOperationId;
        private final StoreProtocol mProtocol;
        private StoreAction mAction;

        Operator(String operationId, StoreProtocol protocol) {
            mOperationId = operationId;
            mProtocol = protocol;
            mAction = protocol.start();
        }
    }

    private final InjectedFault mFault;
    private final InMemoryStore mStore = new InMemoryStore();
    private final FuzzOracle mOracle = new FuzzOracle();
    private final List<Node> mNodes = new ArrayList<>();
    private final List<Message> mMessages = new ArrayList<>();
    private final List<Operator> mOperators = new ArrayList<>();
    private final List<StoreAction.Swap> mDelayedSwaps = new ArrayList<>();
    private final boolean[] mReceivesNothing = new boolean[VMS];
    private final boolean[] mPaused = new boolean[VMS];
    private boolean mStoreUnavailable;
    private long mNowMillis;
    private long mIncarnations;
    private int mOperations;

    FuzzFleet(InjectedFault fault) {
        mFault = fault;
        for (int slot = 0; slot < VMS; slot++) {
            mNodes.add(newNode(slot));
        }
    }

    private Node newNode(int slot) {
        mIncarnations++;
        VmIdentity identity = new VmIdentity("vm-" + slot, mIncarnations);
        Peers peers = new Peers(slot);
        peers.mFollower = mFault.follower(SETTINGS, peers, new SplittableRandom(mIncarnations));
        return new Node(identity, slot, peers.mFollower);
    }

    private static boolean serves(int slot, ServiceId service) {
        return (slot + SERVICES.indexOf(service)) % VMS < CELL_SIZE;
    }

    private final class Peers implements FollowerPeers {
        private final int mSlot;
        private ConfigurationFollower mFollower;

        Peers(int slot) {
            mSlot = slot;
        }

        @Override
        public boolean serves(ServiceId service) {
            return mFollower.cellSizes().containsKey(service) && FuzzFleet.serves(mSlot, service);
        }

        @Override
        public List<VmIdentity> members() {
            return mNodes.stream()
                    .filter(node -> node.slot() != mSlot)
                    .map(Node::identity)
                    .toList();
        }

        @Override
        public List<VmIdentity> groupSources(CustomerGroup group) {
            return mNodes.stream()
                    .filter(node -> node.slot() != mSlot)
                    .filter(node -> group.service().map(s -> isIn(node, s)).orElse(true))
                    .map(Node::identity)
                    .toList();
        }

        @Override
        public List<VmIdentity> textSources(ChangeRecord record) {
            return members();
        }

        @Override
        public int storeRank(CustomerGroup group) {
            return mSlot;
        }
    }

    private static boolean isIn(Node node, ServiceId service) {
        return serves(node.slot(), service);
    }

    // Steps of a schedule; the argument selects among the possible choices.

    void tick(int choice) {
        mNowMillis += TICK_MILLIS;
        for (Node node : List.copyOf(mNodes)) {
            if (mPaused[node.slot()]) {
                continue;
            }
            run(node, node.follower().onTick(mNowMillis));
            Node other = pick(mNodes, choice + node.slot() * 7);
            long number = node.follower().headNumber();
            send(other.identity(), to -> to.follower().onPing(node.identity(), number, mNowMillis));
        }
    }

    void deliver(int choice, boolean keep) {
        if (mMessages.isEmpty()) {
            return;
        }
        int index = Math.floorMod(choice, mMessages.size());
        Message message = mMessages.get(index);
        Optional<Node> receiver =
                mNodes.stream().filter(node -> node.identity().equals(message.to())).findFirst();
        if (receiver.isPresent() && mPaused[receiver.get().slot()]) {
            return;
        }
        if (!keep) {
            mMessages.remove(index);
        }
        receiver.filter(node -> !mReceivesNothing[node.slot()])
                .ifPresent(node -> run(node, message.event().apply(node)));
    }

    void drop(int choice) {
        if (!mMessages.isEmpty()) {
            mMessages.remove(Math.floorMod(choice, mMessages.size()));
        }
    }

    void readHead(int choice) {
        if (!mStoreUnavailable) {
            Node watcher = mNodes.get(Math.floorMod(choice, WATCHERS));
            Head head = mStore.head();
            send(watcher.identity(), node -> node.follower().onHead(head, mNowMillis));
        }
    }

    void replaceVm(int choice) {
        int slot = Math.floorMod(choice, VMS);
        mNodes.set(slot, newNode(slot));
    }

    void replaceAll() {
        for (int slot = 0; slot < VMS; slot++) {
            replaceVm(slot);
        }
    }

    /** Starts or ends a one-way partition, in which a VM sends but receives nothing. */
    void toggleReceiving(int choice) {
        int slot = Math.floorMod(choice, VMS);
        mReceivesNothing[slot] = !mReceivesNothing[slot];
    }

    /** Pauses or resumes a VM; its messages are kept meanwhile. */
    void togglePaused(int choice) {
        int slot = Math.floorMod(choice, VMS);
        mPaused[slot] = !mPaused[slot];
    }

    void toggleStore() {
        mStoreUnavailable = !mStoreUnavailable;
    }

    void startAccept(int choice) {
        String customer = pick(CUSTOMERS, choice);
        long newest = mOracle.newestOf(customer).map(ChangeRecord::number).orElse(0L);
        long base = choice % 5 == 0 ? newest / 2 : newest;
        String operationId = "op-" + ++mOperations;
        AcceptRequest request =
                new AcceptRequest(
                        customer,
                        new TemplateText(customer + " by " + operationId),
                        uses(customer, choice / 16),
                        operationId,
                        "operator",
                        base);
        mOperators.add(new Operator(operationId, mFault.accept(request, RING_CAPACITY)));
    }

    private static List<ServiceUse> uses(String customer, int choice) {
        List<ServiceUse> uses = new ArrayList<>();
        for (int index = 0; index < SERVICES.size(); index++) {
            ServiceId service = SERVICES.get(index);
            boolean provides = service.provider().equals(customer);
            if (provides || (choice >> index) % 2 != 0) {
                uses.add(new ServiceUse(service, provides ? CELL_SIZE : 0));
            }
        }
        return uses;
    }

    void stepOperator(int choice, SwapOutcome simulated) {
        if (mOperators.isEmpty()) {
            return;
        }
        Operator operator = pick(mOperators, choice);
        operator.mAction = answer(operator, simulated);
        if (operator.mAction instanceof StoreAction.Finish finish) {
            mOperators.remove(operator);
            mOracle.onOutcome(operator.mOperationId, finish.outcome());
            if (finish.outcome() instanceof AcceptOutcome.Unknown unknown) {
                mOperators.add(
                        new Operator(operator.mOperationId, new ResolveProtocol(unknown.handle())));
            }
        }
    }

    void crashOperator(int choice) {
        if (!mOperators.isEmpty()) {
            mOperators.remove(Math.floorMod(choice, mOperators.size()));
        }
    }

    void deliverDelayedSwap(int choice) {
        if (!mDelayedSwaps.isEmpty() && !mStoreUnavailable) {
            apply(mDelayedSwaps.remove(Math.floorMod(choice, mDelayedSwaps.size())));
        }
    }

    /** Ends all faults and returns the number of ticks until all VMs agree. */
    int recover() {
        mStoreUnavailable = false;
        Arrays.fill(mReceivesNothing, false);
        Arrays.fill(mPaused, false);
        while (!mDelayedSwaps.isEmpty()) {
            deliverDelayedSwap(0);
        }
        while (!mOperators.isEmpty()) {
            stepOperator(0, SwapOutcome.SWAPPED);
        }
        for (int round = 1; round <= MAX_RECOVERY_TICKS; round++) {
            readHead(0);
            readHead(1);
            tick(round);
            for (int count = 0; count < 2 * MAX_MESSAGES && !mMessages.isEmpty(); count++) {
                deliver(0, false);
            }
            if (disagreement().isEmpty()) {
                return round;
            }
        }
        throw new AssertionError(disagreement().get());
    }

    int accepted() {
        return mOracle.size();
    }

    private Optional<String> disagreement() {
        for (Node node : mNodes) {
            for (String customer : CUSTOMERS) {
                Optional<String> disagreement = disagreement(node, customer);
                if (disagreement.isPresent()) {
                    return disagreement;
                }
            }
            if (!node.follower().isReady()) {
                return Optional.of(node.identity() + " isn't ready: " + node.follower().counters());
            }
        }
        return Optional.empty();
    }

    private Optional<String> disagreement(Node node, String customer) {
        Optional<Long> expected =
                mOracle.newestOf(customer)
                        .filter(r -> r.services().stream().anyMatch(u -> mustServe(node, u)))
                        .map(ChangeRecord::number);
        Optional<Long> active = node.follower().activeNumber(customer);
        return active.equals(expected)
                ? Optional.empty()
                : Optional.of(
                        String.format(
                                "%s: expected active change %s of %s, got %s",
                                node.identity(), expected, customer, active));
    }

    /** Returns whether the VM serves the service, which requires a provider. */
    private boolean mustServe(Node node, ServiceUse use) {
        return isIn(node, use.service()) && mOracle.newestOf(use.service().provider()).isPresent();
    }

    private StoreAction answer(Operator operator, SwapOutcome simulated) {
        if (operator.mAction instanceof StoreAction.Read read) {
            return mStoreUnavailable
                    ? operator.mProtocol.onReadFailed()
                    : operator.mProtocol.onRead(mStore.item(read.key()), mStore.index(read.key()));
        }
        StoreAction.Swap swap = (StoreAction.Swap) operator.mAction;
        if (simulated == SwapOutcome.CONFLICT) {
            mDelayedSwaps.add(swap);
            return operator.mProtocol.onSwap(SwapOutcome.UNKNOWN);
        }
        if (mStoreUnavailable) {
            return operator.mProtocol.onSwap(SwapOutcome.NOT_WRITTEN);
        }
        SwapOutcome answer = apply(swap);
        return operator.mProtocol.onSwap(simulated == SwapOutcome.UNKNOWN ? simulated : answer);
    }

    private SwapOutcome apply(StoreAction.Swap swap) {
        SwapOutcome answer = mStore.apply(swap);
        mOracle.onHead(mStore.head());
        return answer;
    }

    private void send(VmIdentity to, Function<Node, List<FollowerAction>> event) {
        mMessages.add(new Message(to, event));
        if (mMessages.size() > MAX_MESSAGES) {
            mMessages.remove(0);
        }
    }

    private void run(Node node, List<FollowerAction> actions) {
        actions.forEach(action -> run(node, action));
    }

    private void run(Node node, FollowerAction action) {
        if (action instanceof FollowerAction.Apply apply) {
            mOracle.onApply(node.identity(), apply);
        } else if (action instanceof FollowerAction.SendRumor pass) {
            pass.members()
                    .forEach(
                            member ->
                                    send(
                                            member,
                                            to ->
                                                    to.follower()
                                                            .onRumor(pass.records(), mNowMillis)));
        } else if (action instanceof FollowerAction.FetchRecords fetch) {
            send(fetch.peer(), peer -> answerRecords(peer, node, fetch.request()));
        } else if (action instanceof FollowerAction.FetchText fetch) {
            send(fetch.peer(), peer -> answerText(peer, node, fetch));
        } else if (action instanceof FollowerAction.ReadStore read && !mStoreUnavailable) {
            Optional<StoreItem> item = mStore.item(read.key());
            send(node.identity(), to -> to.follower().onStoreItem(read, item, mNowMillis));
        }
    }

    private List<FollowerAction> answerRecords(Node peer, Node requester, RecordsRequest request) {
        RecordsResponse answer = peer.follower().answer(request);
        send(requester.identity(), to -> to.follower().onAnswer(answer, mNowMillis));
        return List.of();
    }

    private List<FollowerAction> answerText(
            Node peer, Node requester, FollowerAction.FetchText fetch) {
        Optional<String> text = peer.follower().text(fetch.customer(), fetch.digest());
        send(
                requester.identity(),
                to -> to.follower().onText(fetch.customer(), fetch.digest(), text, mNowMillis));
        return List.of();
    }

    private static <T> T pick(List<T> list, int choice) {
        return list.get(Math.floorMod(choice, list.size()));
    }
}
