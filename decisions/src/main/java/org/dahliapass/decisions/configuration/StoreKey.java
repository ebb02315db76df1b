package org.dahliapass.decisions.configuration;

import org.dahliapass.model.ServiceId;

/**
 * A key of the configuration store.
 *
 * @param kind the kind of its value
 * @param path the key's text in the store
 */
public record StoreKey(StoreKind kind, String path) {
    /** The key of the {@link Head}. */
    public static final StoreKey HEAD = new StoreKey(StoreKind.HEAD, "head");

    /** The key of the index of all customers that provide services. */
    public static final StoreKey PROVIDERS = new StoreKey(StoreKind.CUSTOMERS, "providers");

    /** Returns the key of a text. */
    public static StoreKey text(String customer, String digest) {
        return new StoreKey(StoreKind.TEXT, "text/" + customer + "/" + digest);
    }

    /** Returns the key of a customer's pointer. */
    public static StoreKey pointer(String customer) {
        return new StoreKey(StoreKind.POINTER, "template/" + customer);
    }

    /** Returns the key of the index of a service's customers. */
    public static StoreKey customers(ServiceId service) {
        return new StoreKey(
                StoreKind.CUSTOMERS, "customers/" + service.provider() + "/" + service.name());
    }
}
