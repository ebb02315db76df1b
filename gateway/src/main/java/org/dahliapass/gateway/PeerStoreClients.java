package org.dahliapass.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.dahliapass.http.HttpClient;
import org.dahliapass.model.Endpoint;
import org.dahliapass.platform.AnswerAges;
import org.dahliapass.platform.MirrorClient;

/** The clients for the store mirrors of other VMs. Confined to the control thread. */
final class PeerStoreClients {
    /** VMs respond within milliseconds; a busy or frozen one is skipped. */
    private static final Duration TIMEOUT = Duration.ofMillis(400);

    private final HttpClient mClient;
    private final Consumer<AnswerAges> mAnswersListener;
    private final Map<Endpoint, MirrorClient> mClients = new HashMap<>();

    /**
     * Creates the clients.
     *
     * @param answersListener receives when the store answered another VM, on the thread of the
     *     response and before its future completes
     */
    PeerStoreClients(HttpClient client, Consumer<AnswerAges> answersListener) {
        mClient = client;
        mAnswersListener = answersListener;
    }

    /** Returns the client for the mirror of a VM. */
    MirrorClient clientFor(Endpoint vm) {
        return mClients.computeIfAbsent(
                vm, endpoint -> new MirrorClient(endpoint, TIMEOUT, mClient, mAnswersListener));
    }

    /** Removes the clients for all VMs except the given ones. */
    void retain(Set<Endpoint> vms) {
        mClients.keySet().retainAll(vms);
    }
}
