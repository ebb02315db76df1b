package org.dahliapass.standins;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Map;

/**
 * The registration of a VM with the platform.
 *
 * @param id the unique ID of the registration
 * @param name the service's name, {@code dahliapass-vm}
 * @param address the VM's IP address
 * @param port the VM's port for callers
 * @param meta the metadata: peers, callers, operators, availability-zone, incarnation
 * @param check whether the VM is live or leaving
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record VmRegistration(
        @JsonProperty("ID") String id,
        @JsonProperty("Name") String name,
        @JsonProperty("Address") String address,
        @JsonProperty("Port") int port,
        @JsonProperty("Meta") Map<String, String> meta,
        @JsonProperty("Check") Check check) {

    /**
     * A VM's health.
     *
     * @param status {@code passing} for live, {@code warning} for leaving
     */
    @JsonIgnoreProperties(ignoreUnknown = true)
    public record Check(@JsonProperty("Status") String status) {
        /** The VM is live. */
        public static final Check LIVE = new Check("passing");

        /** The VM is leaving. */
        public static final Check LEAVING = new Check("warning");
    }

    /** Defaults missing metadata to empty and a missing check to live. */
    public VmRegistration {
        meta = meta == null ? Map.of() : Map.copyOf(meta);
        check = check == null ? Check.LIVE : check;
    }
}
