package org.dahliapass.decisions.reachability;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.dahliapass.model.Endpoint;

/**
 * Records which targets this VM reaches, since when it lost the others, and whether other VMs still
 * reach those.
 *
 * <p>Not thread-safe; confined to the traffic thread. Holds one record for each target that this VM
 * or a reporting VM has used.
 */
public final class TargetContacts {
    /** How long a record is kept after its last update; targets leave and don't return. */
    private static final long RETENTION_MILLIS = 60_000;

    private final Map<Endpoint, Contact> mContacts = new HashMap<>();

    /** What is known of one target. */
    private static final class Contact {
        private long mUpdatedMillis;
        private boolean mIsUsed;
        private OptionalLong mReachedMillis = OptionalLong.empty();
        private OptionalLong mPeerReachedMillis = OptionalLong.empty();
        private Optional<Loss> mLoss = Optional.empty();
    }

    /** The first attempt without a response since the latest one with a response. */
    private record Loss(long sinceMillis, ContactFailure failure, ConnectionUse connection) {}

    /**
     * A target that was lost or is reached again.
     *
     * @param failure how the attempt ended that lost the target
     * @param connection the connection of that attempt
     * @param reachedAgoMillis the time since this VM last reached the target, in milliseconds;
     *     empty for never
     * @param peerReachedAgoMillis the time since another VM last reached it, as far as this VM
     *     knows, in milliseconds; empty for never
     * @param lostMillis how long the target has been lost, in milliseconds
     */
    public record Change(
            ContactFailure failure,
            ConnectionUse connection,
            OptionalLong reachedAgoMillis,
            OptionalLong peerReachedAgoMillis,
            long lostMillis) {}

    /**
     * Records that a target responded, or accepted a connection.
     *
     * @return the change if the target was lost
     */
    public Optional<Change> onReached(Endpoint target, long nowMillis) {
        Contact contact = contact(target, nowMillis);
        Optional<Change> change = contact.mLoss.map(loss -> change(contact, loss, nowMillis));
        contact.mIsUsed = true;
        contact.mReachedMillis = OptionalLong.of(nowMillis);
        contact.mLoss = Optional.empty();
        return change;
    }

    /**
     * Records that an attempt ended without a response.
     *
     * @return the change if the target was not lost before
     */
    public Optional<Change> onFailure(
            Endpoint target, ContactFailure failure, ConnectionUse connection, long nowMillis) {
        Contact contact = contact(target, nowMillis);
        contact.mIsUsed = true;
        if (contact.mLoss.isPresent()) {
            return Optional.empty();
        }
        Loss loss = new Loss(nowMillis, failure, connection);
        contact.mLoss = Optional.of(loss);
        return Optional.of(change(contact, loss, nowMillis));
    }

    /**
     * Records that a target responded to another VM.
     *
     * @param sentMillis when that VM sent the request, in milliseconds
     */
    public void onPeerReached(Endpoint target, long sentMillis) {
        Contact contact = contact(target, sentMillis);
        contact.mPeerReachedMillis =
                OptionalLong.of(
                        Math.max(sentMillis, contact.mPeerReachedMillis.orElse(sentMillis)));
    }

    /** Returns whether the latest attempt of this VM at a target got no response. */
    public boolean isLost(Endpoint target) {
        Contact contact = mContacts.get(target);
        return contact != null && contact.mLoss.isPresent();
    }

    private Contact contact(Endpoint target, long nowMillis) {
        Contact contact = mContacts.computeIfAbsent(target, unused -> new Contact());
        contact.mUpdatedMillis = nowMillis;
        return contact;
    }

    private static Change change(Contact contact, Loss loss, long nowMillis) {
        return new Change(
                loss.failure(),
                loss.connection(),
                age(contact.mReachedMillis, nowMillis),
                age(contact.mPeerReachedMillis, nowMillis),
                nowMillis - loss.sinceMillis());
    }

    private static OptionalLong age(OptionalLong atMillis, long nowMillis) {
        return atMillis.isPresent()
                ? OptionalLong.of(nowMillis - atMillis.getAsLong())
                : OptionalLong.empty();
    }

    /** Returns how many of the used targets are lost, and discards old records. */
    public ContactSummary summary(long nowMillis) {
        mContacts
                .values()
                .removeIf(contact -> nowMillis - contact.mUpdatedMillis > RETENTION_MILLIS);
        int used = 0;
        int onNew = 0;
        int onOpen = 0;
        int answeredElsewhere = 0;
        long sinceMillis = nowMillis;
        for (Contact contact : mContacts.values()) {
            used += contact.mIsUsed ? 1 : 0;
            if (contact.mLoss.isEmpty()) {
                continue;
            }
            Loss loss = contact.mLoss.get();
            onNew += loss.connection() == ConnectionUse.NEW ? 1 : 0;
            onOpen += loss.connection() == ConnectionUse.OPEN ? 1 : 0;
            boolean isReachedByPeer =
                    contact.mPeerReachedMillis.orElse(Long.MIN_VALUE) >= loss.sinceMillis();
            answeredElsewhere += isReachedByPeer ? 1 : 0;
            sinceMillis = Math.min(sinceMillis, loss.sinceMillis());
        }
        return new ContactSummary(
                used, onNew + onOpen, onNew, onOpen, answeredElsewhere, nowMillis - sinceMillis);
    }
}
