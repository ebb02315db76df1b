package org.dahliapass.lab.capacity;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.dahliapass.model.DetectionPolicy;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.Idempotency;
import org.dahliapass.model.RequestKind;
import org.dahliapass.model.ServiceTemplate;
import org.dahliapass.model.Target;

/** Deterministic sample services and customer templates. */
final class SampleServices {
    /** Names of the request kinds of a service. */
    static final List<String> KINDS = List.of("listing", "selection-record", "sign-off");

    private static final int PORT = 8080;
    private static final int BYTE_VALUES = 256;
    private static final int SLOTS = 3;
    private static final int CONNECTIONS = 350;
    private static final double FLOOR = 0.8;
    private static final long MAX_BODY_BYTES = 65_536;

    private SampleServices() {}

    /** Returns a target's address. */
    static Endpoint endpoint(int service, int target) {
        return new Endpoint(
                "10." + (100 + service / BYTE_VALUES) + "." + service % BYTE_VALUES + "." + target,
                PORT);
    }

    /** Returns a service whose targets are spread over the zones. */
    static ServiceTemplate service(int number, int targets, int cellSize) {
        List<Target> list = new ArrayList<>();
        for (int target = 0; target < targets; target++) {
            list.add(new Target(endpoint(number, target), SampleFleet.zone(target)));
        }
        return new ServiceTemplate(
                "service-" + number,
                "provider-" + number,
                list,
                SLOTS,
                CONNECTIONS,
                FLOOR,
                cellSize,
                "/health",
                "/load",
                new DetectionPolicy(
                        0.00001, 0.5, 5, Duration.ofSeconds(15), Duration.ofSeconds(30)),
                KINDS.stream().map(SampleServices::kind).toList());
    }

    private static RequestKind kind(String name) {
        boolean guarded = name.equals("sign-off");
        return new RequestKind(
                name,
                guarded ? "POST" : "GET",
                "/" + name + "s/",
                true,
                guarded ? Idempotency.AT_MOST_ONCE : Idempotency.IDEMPOTENT,
                Duration.ofSeconds(30),
                Duration.ofSeconds(10),
                Duration.ofSeconds(5),
                MAX_BODY_BYTES,
                0,
                0.1,
                Duration.ZERO,
                false,
                0.999);
    }

    /** Returns the text of a customer's template with one service. */
    static String customerText(int customer, int service) {
        StringBuilder text = new StringBuilder();
        text.append("[template]\ncustomer = customer-").append(customer);
        text.append("\n\n[service service-").append(service);
        text.append("]\nprovider = provider-").append(service).append("\n");
        for (String kind : KINDS) {
            boolean guarded = kind.equals("sign-off");
            text.append(
                    String.format(
                            Locale.ROOT,
                            "%n[kind service-%d %s]%nmethod = %s%npath = /%ss/**%nidempotent = %s%n"
                                    + "deadline = 30s%npatience = 10s%nlate-after = 5s%n"
                                    + "maximum-body = %s%nrate = 20%nobjective = 99.5%%%n",
                            service,
                            kind,
                            guarded ? "POST" : "GET",
                            kind,
                            guarded ? "no" : "yes",
                            guarded ? "64KB" : "0B"));
        }
        return text.toString();
    }
}
