package org.dahliapass.gateway;

import org.dahliapass.model.RequestDigest;
import org.dahliapass.model.routing.TargetRegistration;

/**
 * Tells which requests targets ended under.
 *
 * <p>All state belongs to the traffic thread.
 */
final class PoisonGuard {
    private final TargetEndCheck mCheck;
    private final EventLog mLog;

    PoisonGuard(TargetConnections connections, EventLog log) {
        mCheck = new TargetEndCheck(connections);
        mLog = log;
    }

    /**
     * Takes that the connection to a target broke while it had a request.
     *
     * @param target who had it
     * @param request what it had
     */
    void onBroken(TargetRegistration target, RequestDigest request) {
        mCheck.check(target.endpoint(), ended -> onChecked(target, request, ended));
    }

    private void onChecked(TargetRegistration target, RequestDigest request, boolean ended) {
        mLog.write(
                EventLog.Kind.BELIEF,
                "connection_broken",
                line ->
                        line.put("instance", target.instance())
                                .put("target", target.endpoint().toString())
                                .put("target_ended", ended)
                                .put("digest", request.hex()));
    }
}
