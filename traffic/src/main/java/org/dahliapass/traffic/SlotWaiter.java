package org.dahliapass.traffic;

import java.util.concurrent.CompletableFuture;

/**
 * A queued request that waits for a slot.
 *
 * @param slot completes with the slot, or fails with a {@link RefusedException}
 */
public record SlotWaiter(CompletableFuture<Slot> slot) {}
