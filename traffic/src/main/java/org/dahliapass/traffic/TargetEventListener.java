package org.dahliapass.traffic;

import org.dahliapass.decisions.acceptance.AcceptanceChange;
import org.dahliapass.decisions.health.Outcome;
import org.dahliapass.decisions.limits.LimitChange;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.ServiceId;
import org.dahliapass.model.TargetInstance;

/**
 * Receives the outcomes of attempts and drain announcements of targets; called on traffic threads.
 */
public interface TargetEventListener {
    /** Called when an attempt has ended. */
    void onOutcome(
            ServiceId service, Endpoint target, String kind, Outcome outcome, long latencyMillis);

    /**
     * Called when the known request limit of a target has changed.
     *
     * @param reporter the VM that read it from a response; empty for this VM
     */
    default void onLimitChanged(
            ServiceId service, Endpoint target, LimitChange change, String reporter) {}

    /**
     * Called when a target is known to be leaving by a response.
     *
     * @param reporter the VM that received the response; empty for this VM
     */
    default void onLeavingStated(ServiceId service, TargetInstance target, String reporter) {}

    /**
     * Called when a target has asked this VM for a rest.
     *
     * @param restMillis how long it wants no requests, in milliseconds
     */
    default void onRestStated(ServiceId service, TargetInstance target, long restMillis) {}

    /** Called when a target began or ceased to shed requests persistently. */
    default void onAcceptanceChanged(ServiceId service, AcceptanceChange change) {}

    /** Called when a target has announced that it is draining. */
    void onDraining(ServiceId service, Endpoint target);
}
