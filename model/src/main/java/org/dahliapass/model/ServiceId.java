package org.dahliapass.model;

/**
 * The fleet-wide identity of a service.
 *
 * @param provider the customer whose template lists the targets
 * @param name the service's name, unique within that template
 */
public record ServiceId(String provider, String name) implements Comparable<ServiceId> {

    @Override
    public int compareTo(ServiceId other) {
        int byProvider = provider.compareTo(other.provider);
        return byProvider != 0 ? byProvider : name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return provider + "/" + name;
    }
}
