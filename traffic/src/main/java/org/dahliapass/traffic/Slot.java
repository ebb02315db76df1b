package org.dahliapass.traffic;

import java.util.Objects;
import org.dahliapass.decisions.traffic.QueueEntry;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.TargetInstance;

/**
 * A slot at a target, held by one attempt and released exactly once.
 *
 * @param entry the request's queue entry
 * @param instance the target
 * @param startedMillis when the slot was acquired, in milliseconds
 * @param extra whether a retry or a hedge holds it
 * @param lossProbability the probability, when the slot was acquired, that a request to the target
 *     is lost
 */
public record Slot(
        QueueEntry<SlotWaiter> entry,
        TargetInstance instance,
        long startedMillis,
        boolean extra,
        double lossProbability) {
    /** Requires a target instance. */
    public Slot {
        Objects.requireNonNull(instance, "instance is null; a slot requires a registered target");
    }

    /** Returns the target's address. */
    public Endpoint target() {
        return instance.endpoint();
    }
}
