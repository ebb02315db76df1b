package org.dahliapass.traffic;

import java.util.concurrent.CompletableFuture;

/**
 * What goes on with a request once it has a slot.
 *
 * @param slot completes with the slot, or fails with a {@link RefusedException}
 */
public record SlotWaiter(CompletableFuture<Slot> slot) {}
