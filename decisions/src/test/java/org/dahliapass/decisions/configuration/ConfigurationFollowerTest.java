package org.dahliapass.decisions.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.dahliapass.decisions.configuration.FollowerAction.Apply;
import org.dahliapass.decisions.configuration.FollowerAction.FetchRecords;
import org.dahliapass.decisions.configuration.FollowerAction.FetchText;
import org.dahliapass.decisions.configuration.FollowerAction.ReadStore;
import org.dahliapass.decisions.configuration.FollowerAction.Reject;
import org.dahliapass.decisions.configuration.FollowerAction.Release;
import org.dahliapass.decisions.configuration.FollowerAction.SendRumor;
import org.dahliapass.model.ServiceId;
import org.dahliapass.model.VmIdentity;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests for {@link ConfigurationFollower}. */
public final class ConfigurationFollowerTest {
    private static final ServiceId DESK = new ServiceId("himal", "desk");
    private static final VmIdentity PEER_1 = new VmIdentity("vm-1", 1);
    private static final VmIdentity PEER_2 = new VmIdentity("vm-2", 1);
    private static final long RESPONSE_TIMEOUT_MILLIS =
            FollowerSettings.DEFAULTS.responseTimeoutMillis();

    private final Set<ServiceId> mServed = new HashSet<>();
    private List<VmIdentity> mMembers = List.of();
    private ConfigurationFollower mFollower;

    private final class Peers implements FollowerPeers {
        @Override
        public boolean serves(ServiceId service) {
            return mServed.contains(service);
        }

        @Override
        public List<VmIdentity> members() {
            return mMembers;
        }

        @Override
        public List<VmIdentity> groupSources(CustomerGroup group) {
            return mMembers;
        }

        @Override
        public List<VmIdentity> textSources(ChangeRecord record) {
            return mMembers;
        }

        @Override
        public int storeRank(CustomerGroup group) {
            return 0;
        }
    }

    @BeforeMethod
    public void setUp() {
        mServed.clear();
        mServed.add(DESK);
        mMembers = List.of(PEER_1, PEER_2);
        mFollower =
                new ConfigurationFollower(
                        FollowerSettings.DEFAULTS,
                        new Peers(),
                        text -> text.contains("bad") ? Optional.of("It is bad.") : Optional.empty(),
                        new SplittableRandom(1));
    }

    private static ChangeRecord change(long number, String customer, String text) {
        return new ChangeRecord(
                number,
                customer,
                new TemplateText(text).digest(),
                List.of(new ServiceUse(DESK, customer.equals("himal") ? 6 : 0)),
                "op-" + number,
                "Asha",
                0);
    }

    private List<FollowerAction> receiveText(ChangeRecord record, String text, long nowMillis) {
        return mFollower.onText(record.customer(), record.digest(), Optional.of(text), nowMillis);
    }

    private static <T> List<T> actionsOf(Class<T> type, List<FollowerAction> actions) {
        return actions.stream().filter(type::isInstance).map(type::cast).toList();
    }

    @Test
    public void newChangeIsForwardedOnceAndItsTextFetched() {
        ChangeRecord change = change(1, "himal", "good");
        List<FollowerAction> actions = mFollower.onRumor(List.of(change), 0);
        assertEquals(actionsOf(SendRumor.class, actions).size(), 1);
        assertEquals(
                actionsOf(FetchText.class, actions),
                List.of(new FetchText(PEER_1, "himal", change.digest())));
        assertTrue(actionsOf(SendRumor.class, mFollower.onRumor(List.of(change), 1)).isEmpty());
        assertEquals(
                actionsOf(Apply.class, receiveText(change, "good", 2)),
                List.of(new Apply("himal", 1, "good")));
        assertEquals(mFollower.cellSizes().get(DESK), Integer.valueOf(6));
    }

    @Test
    public void invalidTextIsRejectedAndPreviousOneStaysActive() {
        ChangeRecord good = change(1, "himal", "good");
        mFollower.onRumor(List.of(good), 0);
        receiveText(good, "good", 1);
        ChangeRecord bad = change(2, "himal", "bad");
        mFollower.onRumor(List.of(bad), 2);
        assertEquals(
                actionsOf(Reject.class, receiveText(bad, "bad", 3)),
                List.of(new Reject("himal", 2, "It is bad.")));
        assertEquals(mFollower.activeNumber("himal"), Optional.of(1L));
        assertEquals(mFollower.text("himal", good.digest()), Optional.of("good"));
        assertEquals(mFollower.counters().textsWanted(), 0);
    }

    @Test
    public void textWithWrongDigestIsNotApplied() {
        ChangeRecord change = change(1, "himal", "good");
        mFollower.onRumor(List.of(change), 0);
        List<FollowerAction> actions = receiveText(change, "other", 1);
        assertTrue(actionsOf(Apply.class, actions).isEmpty());
        assertEquals(actionsOf(FetchText.class, actions).get(0).peer(), PEER_2);
    }

    @Test
    public void peersAreTriedBeforeStore() {
        ChangeRecord change = change(1, "himal", "good");
        StoreKey key = StoreKey.text("himal", change.digest());
        List<String> sources = new ArrayList<>();
        List<FollowerAction> actions = mFollower.onRumor(List.of(change), 0);
        for (long now = 0; now <= 3 * RESPONSE_TIMEOUT_MILLIS; now += RESPONSE_TIMEOUT_MILLIS / 5) {
            actionsOf(FetchText.class, actions).forEach(fetch -> sources.add(fetch.peer().name()));
            actionsOf(ReadStore.class, actions).stream()
                    .filter(read -> read.key().equals(key))
                    .forEach(read -> sources.add("store"));
            actions = mFollower.onTick(now);
        }
        assertEquals(sources.subList(0, 3), List.of("vm-1", "vm-2", "store"));
    }

    // A fleet that lost its state must not overload the store.
    @Test
    public void storeReadsAreRateLimited() {
        mMembers = List.of();
        long reads = 0;
        for (long now = 0; now < 10_000; now++) {
            List<ReadStore> due = actionsOf(ReadStore.class, mFollower.onTick(now));
            for (ReadStore read : due) {
                mFollower.onStoreItem(read, customers(read.key()), now);
            }
            reads += due.size();
        }
        assertTrue(reads > 100, "" + reads);
        assertTrue(
                reads <= 10_000 / FollowerSettings.DEFAULTS.storeReadIntervalMillis(), "" + reads);
    }

    // A late result of an earlier read must not hide a provider that was added meanwhile.
    @Test
    public void lateResultOfEarlierReadIsIgnored() {
        mMembers = List.of();
        long now = RESPONSE_TIMEOUT_MILLIS;
        mFollower.onTick(0);
        ReadStore head = actionsOf(ReadStore.class, mFollower.onTick(now)).get(0);
        assertTrue(mFollower.onStoreItem(head, Optional.empty(), now).isEmpty());
        ReadStore first = actionsOf(ReadStore.class, mFollower.onTick(now + 100)).get(0);
        ReadStore second =
                actionsOf(ReadStore.class, mFollower.onTick(now + 100 + RESPONSE_TIMEOUT_MILLIS))
                        .get(0);
        assertEquals(second.key(), first.key());
        mFollower.onStoreItem(first, Optional.empty(), now + 1000);
        assertFalse(mFollower.isReady());
        List<FollowerAction> next =
                mFollower.onStoreItem(second, Optional.of(CustomerIndex.of("himal")), now + 1000);
        assertEquals(actionsOf(ReadStore.class, next).get(0).key(), StoreKey.pointer("himal"));
    }

    private static Optional<StoreItem> customers(StoreKey key) {
        CustomerIndex index = CustomerIndex.of("himal");
        for (int number = 0; number < 300; number++) {
            index = CustomerIndex.of("customer-" + number).mergedWith(Optional.of(index));
        }
        return key.kind() == StoreKind.CUSTOMERS ? Optional.of(index) : Optional.empty();
    }

    @Test
    public void higherHeadNumberCausesFetchFromThatPeer() {
        List<FetchRecords> fetches = actionsOf(FetchRecords.class, mFollower.onPing(PEER_2, 5, 0));
        assertEquals(fetches.get(0).peer(), PEER_2);
        assertEquals(fetches.get(0).request().since(), 0);
        assertTrue(actionsOf(FetchRecords.class, mFollower.onPing(PEER_2, 5, 1)).isEmpty());
    }

    @Test
    public void templateIsReleasedWhenVmLeavesCell() {
        ChangeRecord change = change(1, "himal", "good");
        mFollower.onRumor(List.of(change), 0);
        receiveText(change, "good", 1);
        mServed.clear();
        assertEquals(
                actionsOf(Release.class, mFollower.onMembersChanged(2)),
                List.of(new Release("himal")));
        mServed.add(DESK);
        assertEquals(actionsOf(FetchText.class, mFollower.onMembersChanged(3)).size(), 1);
    }

    @Test
    public void customerOfAnotherCellIsNotStored() {
        mServed.clear();
        mFollower.onRumor(List.of(change(1, "himal", "good"), change(2, "valley", "good")), 0);
        assertEquals(mFollower.headNumber(), 2);
        assertEquals(mFollower.counters().customersKnown(), 1);
        assertEquals(mFollower.counters().textsWanted(), 0);
    }
}
