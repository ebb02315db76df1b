package org.dahliapass.decisions.reachability;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import java.util.OptionalLong;
import org.dahliapass.model.Endpoint;
import org.testng.annotations.Test;

/** Tests of the records of the targets that a VM reaches. */
public final class TargetContactsTest {
    private static final Endpoint FIRST = new Endpoint("10.0.0.1", 80);
    private static final Endpoint SECOND = new Endpoint("10.0.0.2", 80);

    @Test
    public void lossTellsHowItWasNoticedAndWhatOthersSaw() {
        TargetContacts contacts = new TargetContacts();
        contacts.onReached(FIRST, 1_000);
        contacts.onPeerReached(FIRST, 1_200);
        Optional<TargetContacts.Change> change =
                contacts.onFailure(FIRST, ContactFailure.NOT_CONNECTED, ConnectionUse.NEW, 1_500);
        assertEquals(
                change,
                Optional.of(
                        new TargetContacts.Change(
                                ContactFailure.NOT_CONNECTED,
                                ConnectionUse.NEW,
                                OptionalLong.of(500),
                                OptionalLong.of(300),
                                0)));
        assertTrue(
                contacts.onFailure(FIRST, ContactFailure.BROKEN, ConnectionUse.OPEN, 1_600)
                        .isEmpty());
        assertEquals(contacts.onReached(FIRST, 2_000).orElseThrow().lostMillis(), 500);
        assertTrue(contacts.onReached(FIRST, 2_100).isEmpty());
    }

    @Test
    public void summaryTellsLostTargetsThatOthersReach() {
        TargetContacts contacts = new TargetContacts();
        contacts.onFailure(FIRST, ContactFailure.SILENT, ConnectionUse.OPEN, 1_000);
        contacts.onFailure(SECOND, ContactFailure.NOT_CONNECTED, ConnectionUse.NEW, 1_400);
        contacts.onPeerReached(SECOND, 1_500);
        assertEquals(contacts.summary(2_000), new ContactSummary(2, 2, 1, 1, 1, 1_000));
    }

    @Test
    public void recordsOfUnusedTargetsAreDiscarded() {
        TargetContacts contacts = new TargetContacts();
        contacts.onReached(FIRST, 1_000);
        contacts.onReached(SECOND, 50_000);
        assertEquals(contacts.summary(62_000), new ContactSummary(1, 0, 0, 0, 0, 0));
    }
}
