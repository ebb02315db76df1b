package org.dahliapass.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.dahliapass.http.HttpClient;
import org.dahliapass.model.Endpoint;
import org.dahliapass.platform.MirrorClient;

/** The clients for the store mirrors of other VMs. Confined to the control thread. */
final class PeerStoreClients {
    /** VMs respond within milliseconds; a busy or frozen one is skipped. */
    private static final Duration TIMEOUT = Duration.ofMillis(400);

    private final HttpClient mClient;
    private final Map<Endpoint, MirrorClient> mClients = new HashMap<>();

    PeerStoreClients(HttpClient client) {
        mClient = client;
    }

    /** Returns the client for the mirror of a VM. */
    MirrorClient clientFor(Endpoint vm) {
        return mClients.computeIfAbsent(
                vm, endpoint -> new MirrorClient(endpoint, TIMEOUT, mClient));
    }

    /** Removes the clients for all VMs except the given ones. */
    void retain(Set<Endpoint> vms) {
        mClients.keySet().retainAll(vms);
    }
}
