package org.dahliapass.traffic;

import org.dahliapass.decisions.traffic.QueueEntry;
import org.dahliapass.model.Endpoint;

/**
 * A slot at a target that one try holds; given back exactly once.
 *
 * @param entry the request as the queue knows it
 * @param target the target
 * @param startedMillis when the slot was taken
 * @param extra whether a retry or a hedge holds it
 */
public record Slot(
        QueueEntry<SlotWaiter> entry, Endpoint target, long startedMillis, boolean extra) {}
