package org.dahliapass.traffic;

import java.util.Objects;
import org.dahliapass.decisions.traffic.QueueEntry;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.TargetInstance;

/**
 * A slot at a target that one try holds; given back exactly once.
 *
 * @param entry the request as the queue knows it
 * @param instance the target
 * @param startedMillis when the slot was taken
 * @param extra whether a retry or a hedge holds it
 */
public record Slot(
        QueueEntry<SlotWaiter> entry, TargetInstance instance, long startedMillis, boolean extra) {
    /** Refuses a slot at nobody. */
    public Slot {
        Objects.requireNonNull(instance, "A slot is at a target that is registered.");
    }

    /** Returns where the target is reached. */
    public Endpoint target() {
        return instance.endpoint();
    }
}
