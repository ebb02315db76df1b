package org.dahliapass.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.dahliapass.http.HttpClient;
import org.dahliapass.model.Endpoint;
import org.dahliapass.platform.HttpKeyValueStore;
import org.dahliapass.platform.KeyValueStore;

/** The clients of other VMs' copies of the store; control thread only. */
final class PeerStoreClients {
    /** VMs answer within a few milliseconds; one that is busy or frozen is passed over. */
    private static final Duration TIMEOUT = Duration.ofMillis(400);

    private final HttpClient mClient;
    private final Map<Endpoint, KeyValueStore> mCopies = new HashMap<>();

    PeerStoreClients(HttpClient client) {
        mClient = client;
    }

    /** Returns the client of one VM's copy. */
    KeyValueStore clientFor(Endpoint vm) {
        return mCopies.computeIfAbsent(
                vm, endpoint -> new HttpKeyValueStore(endpoint, TIMEOUT, mClient));
    }

    /** Forgets the clients of all other VMs. */
    void retain(Set<Endpoint> vms) {
        mCopies.keySet().retainAll(vms);
    }
}
