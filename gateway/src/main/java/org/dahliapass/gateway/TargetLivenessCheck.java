package org.dahliapass.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.dahliapass.kernel.Futures;
import org.dahliapass.model.Endpoint;

/**
 * Finds out whether a target whose connection broke has ended, or only that connection has.
 *
 * <p>A process that ended listens no more. Checks of one target are made once for all who ask
 * meanwhile. All state belongs to the traffic thread.
 */
final class TargetLivenessCheck {
    /** Targets that are checked at once; a rack that is lost must not cost more than that. */
    private static final int MOST_AT_ONCE = 32;

    private final TargetConnections mConnections;
    private final Map<Endpoint, List<Consumer<Boolean>>> mAsking = new HashMap<>();

    TargetLivenessCheck(TargetConnections connections) {
        mConnections = connections;
    }

    /**
     * Checks a target.
     *
     * @param onChecked gets whether the target has ended; false while too many are checked
     */
    void check(Endpoint target, Consumer<Boolean> onChecked) {
        List<Consumer<Boolean>> asking = mAsking.get(target);
        if (asking != null) {
            asking.add(onChecked);
            return;
        }
        if (mAsking.size() >= MOST_AT_ONCE) {
            onChecked.accept(false);
            return;
        }
        mAsking.put(target, new ArrayList<>(List.of(onChecked)));
        Futures.whenDone(
                mConnections.client().isListening(target),
                (listening, failure) -> {
                    boolean ended = failure == null && !listening;
                    mAsking.remove(target).forEach(waiter -> waiter.accept(ended));
                });
    }
}
