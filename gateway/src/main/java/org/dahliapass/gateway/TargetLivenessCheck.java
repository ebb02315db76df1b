package org.dahliapass.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.dahliapass.kernel.Futures;
import org.dahliapass.model.Endpoint;

/**
 * Checks whether a target has exited after a connection to it broke.
 *
 * <p>A process that has exited does not listen any more. Concurrent checks of a target share one
 * connection attempt. Confined to the traffic thread.
 */
final class TargetLivenessCheck {
    /** The maximum number of concurrent checks; bounds the cost of the loss of a rack. */
    private static final int MAX_CONCURRENT_CHECKS = 32;

    private final TargetConnections mConnections;
    private final Map<Endpoint, List<Consumer<Boolean>>> mListeners = new HashMap<>();

    TargetLivenessCheck(TargetConnections connections) {
        mConnections = connections;
    }

    /**
     * Checks a target.
     *
     * @param onChecked receives whether the target has exited; false if too many checks are running
     */
    void check(Endpoint target, Consumer<Boolean> onChecked) {
        List<Consumer<Boolean>> listeners = mListeners.get(target);
        if (listeners != null) {
            listeners.add(onChecked);
            return;
        }
        if (mListeners.size() >= MAX_CONCURRENT_CHECKS) {
            onChecked.accept(false);
            return;
        }
        mListeners.put(target, new ArrayList<>(List.of(onChecked)));
        Futures.whenDone(
                mConnections.client().isListening(target),
                (listening, failure) -> {
                    boolean hasExited = failure == null && !listening;
                    mListeners.remove(target).forEach(listener -> listener.accept(hasExited));
                });
    }
}
