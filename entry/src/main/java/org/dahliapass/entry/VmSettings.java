package org.dahliapass.entry;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import java.util.regex.Pattern;
import org.dahliapass.kernel.IniFile;
import org.dahliapass.kernel.IniSection;
import org.dahliapass.kernel.SettingsException;
import org.dahliapass.model.Endpoint;

/**
 * The settings of one entry VM.
 *
 * @param fleet the fleet's name; messages of other fleets are rejected
 * @param name the VM's name, unique in the fleet
 * @param availabilityZone the VM's availability zone
 * @param address the IP address on which the VM listens
 * @param callersPort the port for callers; 0 for any free one
 * @param peersPort the port for other VMs, TCP and UDP; 0 for any free one
 * @param operatorsPort the port for operators; 0 for any free one
 * @param store the address of the platform's key-value store
 * @param vmList the address of the platform's VM list
 * @param announce whether the VM registers itself in the VM list, rather than the platform
 * @param discoveryTimeToLive how long callers may use a discovery response
 * @param gossipPeriod the period of the failure detector
 * @param controlPeriod the period of evidence reports, queue maintenance and snapshots
 * @param evidenceBytesPerSecond the budget for periodic evidence to the cells, in bytes per second
 * @param operationWindow how long keys of at-most-once operations are kept
 * @param operationCapacity the maximum number of keys kept, as home and as witness each
 */
public record VmSettings(
        String fleet,
        String name,
        String availabilityZone,
        String address,
        int callersPort,
        int peersPort,
        int operatorsPort,
        Endpoint store,
        Endpoint vmList,
        boolean announce,
        Duration discoveryTimeToLive,
        Duration gossipPeriod,
        Duration controlPeriod,
        long evidenceBytesPerSecond,
        Duration operationWindow,
        int operationCapacity) {
    private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,40}");
    private static final Pattern ADDRESS = Pattern.compile("[0-9]{1,3}(\\.[0-9]{1,3}){3}");
    private static final int MAX_PORT = 65_535;
    private static final long MIN_EVIDENCE_BYTES_PER_SECOND = 512;
    private static final long MAX_EVIDENCE_BYTES_PER_SECOND = 1024 * 1024;
    private static final long DEFAULT_EVIDENCE_BYTES_PER_SECOND = 16 * 1024;
    private static final String NAME_RULE = "lower-case letters, digits and hyphens, 41 at most";

    /**
     * Reads a settings file.
     *
     * @throws SettingsException if the file is invalid, with all problems
     */
    public static VmSettings read(Path path) {
        return from(IniFile.read(path));
    }

    /**
     * Reads settings from a parsed file.
     *
     * @throws SettingsException if the file is invalid, with all problems
     */
    public static VmSettings from(IniFile file) {
        IniSection vm = file.section("vm");
        IniSection platform = file.section("platform");
        IniSection control = file.sectionOrEmpty("control");
        VmSettings settings =
                new VmSettings(
                        name(vm, "fleet"),
                        name(vm, "name"),
                        name(vm, "availability-zone"),
                        vm.value("address", "an IP number", VmSettings::address, "127.0.0.1"),
                        (int) vm.number("callers-port", 0, MAX_PORT),
                        (int) vm.number("peers-port", 0, MAX_PORT),
                        (int) vm.number("operators-port", 0, MAX_PORT),
                        endpoint(platform, "store"),
                        endpoint(platform, "vm-list"),
                        platform.yesNo("announce", false),
                        control.duration(
                                "ask-time-to-live",
                                Duration.ofSeconds(1),
                                Duration.ofMinutes(5),
                                Duration.ofSeconds(30)),
                        control.duration(
                                "gossip-period",
                                Duration.ofMillis(50),
                                Duration.ofSeconds(5),
                                Duration.ofSeconds(1)),
                        control.duration(
                                "control-period",
                                Duration.ofMillis(20),
                                Duration.ofSeconds(2),
                                Duration.ofMillis(250)),
                        control.size(
                                "evidence-budget",
                                MIN_EVIDENCE_BYTES_PER_SECOND,
                                MAX_EVIDENCE_BYTES_PER_SECOND,
                                DEFAULT_EVIDENCE_BYTES_PER_SECOND),
                        control.duration(
                                "operation-window",
                                Duration.ofMinutes(1),
                                Duration.ofHours(24),
                                Duration.ofHours(1)),
                        (int) control.number("operation-capacity", 100, 1_000_000, 20_000));
        file.throwIfInvalid();
        return settings;
    }

    private static String name(IniSection section, String key) {
        return section.value(
                key,
                NAME_RULE,
                text -> NAME.matcher(text).matches() ? Optional.of(text) : Optional.empty(),
                "x");
    }

    private static Optional<String> address(String text) {
        return ADDRESS.matcher(text).matches() ? Optional.of(text) : Optional.empty();
    }

    private static Endpoint endpoint(IniSection section, String key) {
        return section.value(
                key, "an address such as 10.0.0.7:8500", Endpoint::parse, new Endpoint("x", 1));
    }
}
