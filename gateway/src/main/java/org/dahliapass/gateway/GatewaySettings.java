package org.dahliapass.gateway;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dahliapass.kernel.IniFile;
import org.dahliapass.kernel.IniSection;
import org.dahliapass.kernel.SettingsException;
import org.dahliapass.model.DetectionPolicy;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.routing.FleetVm;
import org.dahliapass.model.routing.VmCapacity;

/**
 * The settings of one gateway VM.
 *
 * @param self this VM as the others shall see it, with the address for callers' requests
 * @param discovery where the VM answers asks for addresses
 * @param readiness where the VM says whether it is ready
 * @param metrics where the VM serves its metrics; empty if it doesn't
 * @param control where a VM that starts may read this VM's copy of the store
 * @param seeds where this VM may read such a copy when it starts while the store is away; stale
 * @param store where the platform's store is reached
 * @param stopTimeout how long after SIGTERM the process may live
 * @param addressTimeToLive how long a caller may keep an ask's answer
 * @param vmsPerZone how many VMs take the callers of one availability zone at least
 * @param floorShare the share of a service's targets that stay in service whatever the evidence
 * @param retryShare further tries allowed, as a share of first tries
 * @param detection how sure the VM must be before it takes a target out
 */
public record GatewaySettings(
        FleetVm self,
        Endpoint discovery,
        Endpoint readiness,
        Optional<Endpoint> metrics,
        Endpoint control,
        List<Endpoint> seeds,
        Endpoint store,
        Duration stopTimeout,
        Duration addressTimeToLive,
        int vmsPerZone,
        double floorShare,
        double retryShare,
        DetectionPolicy detection) {
    /** Copies the list. */
    public GatewaySettings {
        seeds = List.copyOf(seeds);
    }

    private static final Duration SECOND = Duration.ofSeconds(1);
    private static final Duration MINUTE = Duration.ofMinutes(1);
    private static final int MOST_VMS_PER_ZONE = 64;

    /** The least share of a processor that a VM may be given. */
    private static final double LEAST_SHARE = 0.01;

    private static final double MOST_PROCESSORS = 1_000;
    private static final double MOST_LINK_MEGABITS = 1_000_000;

    /**
     * Reads a settings file.
     *
     * @throws SettingsException with all problems of the file
     */
    public static GatewaySettings read(Path path) {
        return from(IniFile.read(path));
    }

    /**
     * Reads settings from a parsed file.
     *
     * @throws SettingsException with all problems of the file
     */
    public static GatewaySettings from(IniFile file) {
        IniSection vm = file.section("vm");
        IniSection policy = file.section("policy");
        GatewaySettings settings =
                new GatewaySettings(
                        new FleetVm(
                                vm.text("name"),
                                vm.text("availability-zone"),
                                vm.text("region"),
                                endpoint(vm, "callers"),
                                endpoint(vm, "peers"),
                                capacity(vm)),
                        endpoint(vm, "asks"),
                        endpoint(vm, "readiness"),
                        vm.has("metrics") ? Optional.of(endpoint(vm, "metrics")) : Optional.empty(),
                        endpoint(vm, "control"),
                        seeds(vm),
                        endpoint(file.section("store"), "address"),
                        seconds(vm, "stop-grace-seconds"),
                        policy.duration("ask-time-to-live", Duration.ofMillis(100), MINUTE),
                        (int) policy.number("vms-per-zone", 1, MOST_VMS_PER_ZONE),
                        policy.fraction("floor"),
                        policy.fraction("retries"),
                        detection(policy));
        file.throwIfInvalid();
        return settings;
    }

    private static VmCapacity capacity(IniSection vm) {
        double processors = vm.decimal("processors", 1, MOST_PROCESSORS, 1);
        double share = vm.decimal("processor-share", LEAST_SHARE, 1, VmCapacity.DEFAULT.cores());
        double link =
                vm.decimal(
                        "link-megabits",
                        VmCapacity.MINIMUM,
                        MOST_LINK_MEGABITS,
                        VmCapacity.DEFAULT.linkMegabits());
        return new VmCapacity(processors * share, link);
    }

    private static DetectionPolicy detection(IniSection policy) {
        return new DetectionPolicy(
                policy.decimal("false-ejections-per-hour", 1e-9, 100),
                policy.fraction("failing-share"),
                policy.decimal("slow-factor", 1, 100),
                policy.duration("return-after", Duration.ofMillis(100), MINUTE),
                policy.duration("slow-start", Duration.ofMillis(100), MINUTE));
    }

    /** Reads a time that the platform gives as a number of seconds, with fractions. */
    private static Duration seconds(IniSection section, String key) {
        double seconds = section.decimal(key, 0, (double) MINUTE.toSeconds());
        return Duration.ofMillis(Math.round(seconds * SECOND.toMillis()));
    }

    private static List<Endpoint> seeds(IniSection section) {
        List<Endpoint> seeds = new ArrayList<>();
        for (String text : section.list("seeds")) {
            Optional<Endpoint> seed = Endpoint.parse(text);
            if (seed.isEmpty()) {
                section.reportProblem("seeds", "'" + text + "'", "addresses such as 10.0.0.7:8500");
            }
            seed.ifPresent(seeds::add);
        }
        return seeds;
    }

    private static Endpoint endpoint(IniSection section, String key) {
        return section.value(
                key, "an address such as 10.0.0.7:8500", Endpoint::parse, new Endpoint("x", 1));
    }
}
