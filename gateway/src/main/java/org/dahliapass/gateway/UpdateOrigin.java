package org.dahliapass.gateway;

import org.dahliapass.kernel.JsonObject;
import org.dahliapass.platform.StoreRevision;

/**
 * Where an update of the known state comes from.
 *
 * @param source the name of the VM that was followed, or "store"
 * @param revision the position in the history of the store up to which the update is complete
 */
record UpdateOrigin(String source, StoreRevision revision) {
    /** The origin of the state before the first update. */
    static final UpdateOrigin NONE = new UpdateOrigin("", StoreRevision.NONE);

    /** Adds the origin to a line of the log. */
    JsonObject describe(JsonObject line) {
        return line.put("source", source)
                .put("epoch", revision.epoch())
                .put("revision", revision.number());
    }
}
