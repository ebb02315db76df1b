package org.dahliapass.gateway;

import org.dahliapass.kernel.JsonObject;

/** Knows how recent the configuration of this VM is. Thread-safe. */
interface ConfigurationStatus {
    /**
     * Returns whether the last update is recent enough that a route unknown to this VM is in force
     * nowhere.
     */
    boolean isUpToDate();

    /** Adds the age and the origin of the configuration to a line of the log. */
    void describe(JsonObject line);
}
