package org.dahliapass.gateway;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
import org.dahliapass.decisions.admission.AdmissionOrder;
import org.dahliapass.decisions.admission.CustomerSharing;
import org.dahliapass.decisions.limits.LimitSharing;
import org.dahliapass.decisions.limits.LimitTolerance;
import org.dahliapass.decisions.routing.RegistrationPacing;
import org.dahliapass.decisions.traffic.TrafficPolicy;
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
 * @param self this VM as registered for the other VMs, with its endpoint for callers
 * @param discovery the endpoint that serves discovery requests
 * @param readiness the endpoint that serves readiness checks
 * @param metrics the endpoint that serves metrics; empty if disabled
 * @param control the endpoint from which a starting VM may read this VM's mirror of the store
 * @param seeds the endpoints of mirrors, possibly stale, to read if the store is unavailable at
 *     startup
 * @param store the endpoint of the platform's store
 * @param registrationPacing how the VMs spread the writes of their entries
 * @param stopTimeout the time between SIGTERM and the end of the process
 * @param addressTimeToLive how long a caller may cache a discovery response
 * @param vmsPerZone the minimum number of VMs that serve the callers of one availability zone
 * @param floorShare the share of a service's targets that is never ejected
 * @param retryShare the retry budget, as a share of first attempts
 * @param revocationLimit the time after which a VM that receives no changes accepts no key; empty
 *     if it accepts the keys that it knows
 * @param limits how the VMs hold the limits that apply to all of them together
 * @param detection the thresholds for ejecting a target
 * @param load which mechanisms for high load are used
 */
public record GatewaySettings(
        FleetVm self,
        Endpoint discovery,
        Endpoint readiness,
        Optional<Endpoint> metrics,
        Endpoint control,
        List<Endpoint> seeds,
        Endpoint store,
        RegistrationPacing registrationPacing,
        Duration stopTimeout,
        Duration addressTimeToLive,
        int vmsPerZone,
        double floorShare,
        double retryShare,
        Optional<Duration> revocationLimit,
        LimitSettings limits,
        DetectionPolicy detection,
        LoadSettings load) {
    /** Copies the list of seeds. */
    public GatewaySettings {
        seeds = List.copyOf(seeds);
    }

    private static final Duration SECOND = Duration.ofSeconds(1);
    private static final Duration MINUTE = Duration.ofMinutes(1);
    private static final int MAX_VMS_PER_ZONE = 64;

    /** The minimum share of a processor. */
    private static final double MIN_PROCESSOR_SHARE = 0.01;

    private static final double MAX_PROCESSORS = 1_000;
    private static final double MAX_LINK_MEGABITS = 1_000_000;
    private static final double MAX_SLACK = 1_000_000;
    private static final double DEFAULT_RETRIES = 20;
    private static final double MIN_WINDOW = 0.1;
    private static final double MAX_WINDOW = 3_600;
    private static final int MAX_PIPELINED_REQUESTS = 64;
    private static final long MAX_STARTUP_WAIT_MILLIS = 10_000;
    private static final int DEFAULT_WRITES_PER_SECOND = 400;
    private static final int MAX_WRITES_PER_SECOND = 1_000_000;
    private static final long MAX_MEGABYTES = 1_000_000;
    private static final long MAX_DESCRIPTORS = 10_000_000;

    /** The ways of sharing for which the VMs have messages. */
    private static final List<LimitSharing> SHARINGS =
            List.of(LimitSharing.EVEN, LimitSharing.COUNTED);

    /**
     * Reads a settings file.
     *
     * @throws SettingsException listing all invalid values of the file
     */
    public static GatewaySettings read(Path path) {
        return from(IniFile.read(path));
    }

    /**
     * Creates settings from a parsed file.
     *
     * @throws SettingsException listing all invalid values of the file
     */
    public static GatewaySettings from(IniFile file) {
        IniSection vm = file.section("vm");
        IniSection policy = file.section("policy");
        IniSection store = file.section("store");
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
                        endpoint(store, "address"),
                        new RegistrationPacing(
                                (int)
                                        store.number(
                                                "writes-per-second",
                                                1,
                                                MAX_WRITES_PER_SECOND,
                                                DEFAULT_WRITES_PER_SECOND)),
                        seconds(vm, "stop-grace-seconds"),
                        policy.duration("ask-time-to-live", Duration.ofMillis(100), MINUTE),
                        (int) policy.number("vms-per-zone", 1, MAX_VMS_PER_ZONE),
                        policy.fraction("floor"),
                        policy.fraction("retries"),
                        policy.has("revocation-limit-seconds")
                                ? Optional.of(seconds(policy, "revocation-limit-seconds"))
                                : Optional.empty(),
                        limits(policy),
                        detection(policy),
                        load(vm, policy));
        file.throwIfInvalid();
        return settings;
    }

    private static VmCapacity capacity(IniSection vm) {
        double processors = vm.decimal("processors", 1, MAX_PROCESSORS, 1);
        double share =
                vm.decimal("processor-share", MIN_PROCESSOR_SHARE, 1, VmCapacity.DEFAULT.cores());
        double link =
                vm.decimal(
                        "link-megabits",
                        VmCapacity.MINIMUM,
                        MAX_LINK_MEGABITS,
                        VmCapacity.DEFAULT.linkMegabits());
        return new VmCapacity(processors * share, link);
    }

    private static LimitSettings limits(IniSection policy) {
        String sharing = policy.text("rate-limit-sharing", "counted");
        Optional<LimitSharing> known =
                SHARINGS.stream()
                        .filter(value -> value.name().toLowerCase(Locale.ROOT).equals(sharing))
                        .findFirst();
        if (known.isEmpty()) {
            policy.reportProblem("rate-limit-sharing", "'" + sharing + "'", "even or counted");
        }
        return new LimitSettings(
                known.orElse(LimitSharing.COUNTED),
                new LimitTolerance(
                        policy.decimal("rate-limit-excess", 0, 1, 0),
                        policy.decimal("rate-limit-slack", 0, MAX_SLACK, 0),
                        policy.decimal("rate-limit-window-seconds", MIN_WINDOW, MAX_WINDOW, 1)),
                policy.decimal("retry-slack", 0, MAX_SLACK, DEFAULT_RETRIES));
    }

    private static LoadSettings load(IniSection vm, IniSection policy) {
        return new LoadSettings(
                new TrafficPolicy(
                        policy.enumValue(
                                "admission-order", AdmissionOrder.class, AdmissionOrder.LANES),
                        policy.enumValue(
                                "customer-shares", CustomerSharing.class, CustomerSharing.VM),
                        isOn(policy, "hedge-by-age"),
                        isOn(policy, "learn-acceptance"),
                        policy.decimal("zone-crossing-cost", 0, 1, 0),
                        isOn(policy, "learn-response-times"),
                        isOn(policy, "learn-free-capacity"),
                        isOn(policy, "yield-to-other-vms")),
                (int) policy.number("pipelined-requests", 1, MAX_PIPELINED_REQUESTS, 1),
                isOn(policy, "track-replaced-targets"),
                isOn(policy, "pass-on-when-busy"),
                policy.number("startup-wait-ms", 0, MAX_STARTUP_WAIT_MILLIS, 0),
                optionalNumber(vm, "memory-megabytes", MAX_MEGABYTES),
                optionalNumber(vm, "descriptors", MAX_DESCRIPTORS));
    }

    private static boolean isOn(IniSection section, String key) {
        return section.enumValue(key, Toggle.class, Toggle.OFF) == Toggle.ON;
    }

    private static OptionalInt optionalNumber(IniSection section, String key, long max) {
        return section.has(key)
                ? OptionalInt.of((int) section.number(key, 1, max))
                : OptionalInt.empty();
    }

    /** The values of settings that switch a mechanism. */
    private enum Toggle {
        ON,
        OFF
    }

    private static DetectionPolicy detection(IniSection policy) {
        return new DetectionPolicy(
                policy.decimal("false-ejections-per-hour", 1e-9, 100),
                policy.fraction("failing-share"),
                policy.decimal("slow-factor", 1, 100),
                policy.duration("return-after", Duration.ofMillis(100), MINUTE),
                policy.duration("slow-start", Duration.ofMillis(100), MINUTE));
    }

    /** Returns a duration that is written as a decimal number of seconds. */
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
