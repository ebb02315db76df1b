package org.dahliapass.decisions.configuration;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Function;
import org.dahliapass.model.ServiceId;
import org.dahliapass.model.VmIdentity;

/** A few VMs' followers, operators' accepts and a store, driven step by step. */
final class FuzzFleet {
    static final int VMS = 5;
    static final int CELL = 3;
    static final int RING = 3;
    static final List<String> CUSTOMERS = List.of("a", "b", "c");
    static final List<ServiceId> SERVICES =
            List.of(new ServiceId("a", "s"), new ServiceId("b", "s"));

    private static final int WATCHERS = 2;
    private static final long TICK_MILLIS = 100;
    private static final int LIMIT_TICKS = 60;
    private static final int MOST_MESSAGES = 300;
    private static final FollowerSettings SETTINGS =
            new FollowerSettings(RING, 2, 200, 10, 300, 4, 4);

    /** A message on its way to one life of one VM. */
    private record Message(VmIdentity to, Function<Node, List<FollowerAction>> event) {}

    /** One life of one VM. */
    private record Node(VmIdentity identity, int slot, ConfigurationFollower follower) {}

    /** An operator's command under way. */
    private static final class Operator {
        private final String mOperationId;
        private final StoreProtocol mMachine;
        private StoreAction mAction;

        Operator(String operationId, StoreProtocol machine) {
            mOperationId = operationId;
            mMachine = machine;
            mAction = machine.start();
        }
    }

    private final InjectedFault mFault;
    private final InMemoryStore mStore = new InMemoryStore();
    private final FuzzOracle mOrder = new FuzzOracle();
    private final List<Node> mNodes = new ArrayList<>();
    private final List<Message> mMessages = new ArrayList<>();
    private final List<Operator> mOperators = new ArrayList<>();
    private final List<StoreAction.Swap> mStuck = new ArrayList<>();
    private final boolean[] mDeaf = new boolean[VMS];
    private final boolean[] mFrozen = new boolean[VMS];
    private boolean mStoreAway;
    private long mNowMillis;
    private long mLives;
    private int mOperations;

    FuzzFleet(InjectedFault fault) {
        mFault = fault;
        for (int slot = 0; slot < VMS; slot++) {
            mNodes.add(newNode(slot));
        }
    }

    private Node newNode(int slot) {
        mLives++;
        VmIdentity identity = new VmIdentity("vm-" + slot, mLives);
        Peers peers = new Peers(slot);
        peers.mFollower = mFault.follower(SETTINGS, peers, new SplittableRandom(mLives));
        return new Node(identity, slot, peers.mFollower);
    }

    private static boolean serves(int slot, ServiceId service) {
        return (slot + SERVICES.indexOf(service)) % VMS < CELL;
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

    // Steps: each takes an argument that chooses among what is possible now.

    void tick(int choice) {
        mNowMillis += TICK_MILLIS;
        for (Node node : List.copyOf(mNodes)) {
            if (mFrozen[node.slot()]) {
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
        int place = Math.floorMod(choice, mMessages.size());
        Message message = mMessages.get(place);
        Optional<Node> receiver =
                mNodes.stream().filter(node -> node.identity().equals(message.to())).findFirst();
        if (receiver.isPresent() && mFrozen[receiver.get().slot()]) {
            return;
        }
        if (!keep) {
            mMessages.remove(place);
        }
        receiver.filter(node -> !mDeaf[node.slot()])
                .ifPresent(node -> run(node, message.event().apply(node)));
    }

    void drop(int choice) {
        if (!mMessages.isEmpty()) {
            mMessages.remove(Math.floorMod(choice, mMessages.size()));
        }
    }

    void watch(int choice) {
        if (!mStoreAway) {
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

    /** A VM that is deaf still sends: a network cut one way. */
    void switchDeaf(int choice) {
        int slot = Math.floorMod(choice, VMS);
        mDeaf[slot] = !mDeaf[slot];
    }

    /** A VM that is frozen does nothing, and finds all its messages when it wakes. */
    void switchFrozen(int choice) {
        int slot = Math.floorMod(choice, VMS);
        mFrozen[slot] = !mFrozen[slot];
    }

    void switchStore() {
        mStoreAway = !mStoreAway;
    }

    void startAccept(int choice) {
        String customer = pick(CUSTOMERS, choice);
        long newest = mOrder.newestOf(customer).map(ChangeRecord::number).orElse(0L);
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
        mOperators.add(new Operator(operationId, mFault.accept(request, RING)));
    }

    private static List<ServiceUse> uses(String customer, int choice) {
        List<ServiceUse> uses = new ArrayList<>();
        for (int place = 0; place < SERVICES.size(); place++) {
            ServiceId service = SERVICES.get(place);
            boolean provides = service.provider().equals(customer);
            if (provides || (choice >> place) % 2 != 0) {
                uses.add(new ServiceUse(service, provides ? CELL : 0));
            }
        }
        return uses;
    }

    void stepOperator(int choice, SwapOutcome fate) {
        if (mOperators.isEmpty()) {
            return;
        }
        Operator operator = pick(mOperators, choice);
        operator.mAction = answer(operator, fate);
        if (operator.mAction instanceof StoreAction.Finish finish) {
            mOperators.remove(operator);
            mOrder.onOutcome(operator.mOperationId, finish.outcome());
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

    void arriveLate(int choice) {
        if (!mStuck.isEmpty() && !mStoreAway) {
            apply(mStuck.remove(Math.floorMod(choice, mStuck.size())));
        }
    }

    /** Heals everything and returns after how many ticks all agree; they have the letter's 6 s. */
    int calmDown() {
        mStoreAway = false;
        Arrays.fill(mDeaf, false);
        Arrays.fill(mFrozen, false);
        while (!mStuck.isEmpty()) {
            arriveLate(0);
        }
        while (!mOperators.isEmpty()) {
            stepOperator(0, SwapOutcome.SWAPPED);
        }
        for (int round = 1; round <= LIMIT_TICKS; round++) {
            watch(0);
            watch(1);
            tick(round);
            for (int count = 0; count < 2 * MOST_MESSAGES && !mMessages.isEmpty(); count++) {
                deliver(0, false);
            }
            if (disagreement().isEmpty()) {
                return round;
            }
        }
        throw new AssertionError(disagreement().get());
    }

    int accepted() {
        return mOrder.size();
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
                mOrder.newestOf(customer)
                        .filter(r -> r.services().stream().anyMatch(u -> mustServe(node, u)))
                        .map(ChangeRecord::number);
        Optional<Long> inForce = node.follower().activeNumber(customer);
        return inForce.equals(expected)
                ? Optional.empty()
                : Optional.of(
                        String.format(
                                "%s has %s of %s in force, not %s",
                                node.identity(), inForce, customer, expected));
    }

    /** A service that nobody provides yet is served by nobody. */
    private boolean mustServe(Node node, ServiceUse use) {
        return isIn(node, use.service()) && mOrder.newestOf(use.service().provider()).isPresent();
    }

    private StoreAction answer(Operator operator, SwapOutcome fate) {
        if (operator.mAction instanceof StoreAction.Read read) {
            return mStoreAway
                    ? operator.mMachine.onReadFailed()
                    : operator.mMachine.onRead(mStore.item(read.key()), mStore.index(read.key()));
        }
        StoreAction.Swap swap = (StoreAction.Swap) operator.mAction;
        if (fate == SwapOutcome.CONFLICT) {
            mStuck.add(swap);
            return operator.mMachine.onSwap(SwapOutcome.UNKNOWN);
        }
        if (mStoreAway) {
            return operator.mMachine.onSwap(SwapOutcome.NOT_WRITTEN);
        }
        SwapOutcome answer = apply(swap);
        return operator.mMachine.onSwap(fate == SwapOutcome.UNKNOWN ? fate : answer);
    }

    private SwapOutcome apply(StoreAction.Swap swap) {
        SwapOutcome answer = mStore.apply(swap);
        mOrder.onHead(mStore.head());
        return answer;
    }

    private void send(VmIdentity to, Function<Node, List<FollowerAction>> event) {
        mMessages.add(new Message(to, event));
        if (mMessages.size() > MOST_MESSAGES) {
            mMessages.remove(0);
        }
    }

    private void run(Node node, List<FollowerAction> actions) {
        actions.forEach(action -> run(node, action));
    }

    private void run(Node node, FollowerAction action) {
        if (action instanceof FollowerAction.Apply apply) {
            mOrder.onApply(node.identity(), apply);
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
        } else if (action instanceof FollowerAction.ReadStore read && !mStoreAway) {
            Optional<StoreItem> item = mStore.item(read.key());
            send(node.identity(), to -> to.follower().onStoreItem(read, item, mNowMillis));
        }
    }

    private List<FollowerAction> answerRecords(Node peer, Node asker, RecordsRequest request) {
        RecordsResponse answer = peer.follower().answer(request);
        send(asker.identity(), to -> to.follower().onAnswer(answer, mNowMillis));
        return List.of();
    }

    private List<FollowerAction> answerText(Node peer, Node asker, FollowerAction.FetchText fetch) {
        Optional<String> text = peer.follower().text(fetch.customer(), fetch.digest());
        send(
                asker.identity(),
                to -> to.follower().onText(fetch.customer(), fetch.digest(), text, mNowMillis));
        return List.of();
    }

    private static <T> T pick(List<T> list, int choice) {
        return list.get(Math.floorMod(choice, list.size()));
    }
}
