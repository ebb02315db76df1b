package org.dahliapass.lab;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import org.dahliapass.gateway.GatewayMain;
import org.dahliapass.gateway.GatewaySettings;
import org.dahliapass.kernel.IniFile;
import org.dahliapass.kernel.MonotonicClock;
import org.dahliapass.kernel.OperationException;
import org.dahliapass.model.Endpoint;
import org.dahliapass.platform.ConfigurationDocument;
import org.dahliapass.platform.DiscoveryCalls;
import org.dahliapass.standins.CallerStandIn;
import org.dahliapass.standins.GatewayFixtures;
import org.dahliapass.standins.MetadataStoreStandIn;
import org.dahliapass.standins.SigningTargetStandIn;
import org.dahliapass.standins.SigningTargetStandIn.Behaviour;

/**
 * Takes a gateway VM through its usual work once, so that the build can list the classes that it
 * loads.
 *
 * <p>The list goes into a class archive, with which a VM starts with less processor time: 1.6 to
 * 1.7 s in place of 2.3 to 3.2 s, read from the process 3 s after its start, three runs each beside
 * a store, on a machine with other work.
 */
public final class GatewayRehearsal {
    private static final int OK = 200;
    private static final int REQUESTS = 20;
    private static final int MOST_TRIES = 400;
    private static final long PAUSE_NANOS = 50_000_000;

    private GatewayRehearsal() {}

    /** Runs the rehearsal and ends; exit code 1 if the VM does not serve. */
    public static void main(String[] arguments) {
        boolean served = false;
        try {
            served = rehearse();
        } finally {
            // Also after a failure: threads of the VM would keep the build waiting for good.
            Runtime.getRuntime().halt(served ? 0 : 1);
        }
    }

    private static boolean rehearse() {
        MonotonicClock clock = new MonotonicClock();
        MetadataStoreStandIn store = new MetadataStoreStandIn(0, clock);
        List<SigningTargetStandIn> targets =
                List.of(new SigningTargetStandIn("i-1"), new SigningTargetStandIn("i-2"));
        store.start();
        targets.forEach(SigningTargetStandIn::start);
        targets.forEach(target -> store.put(target.key(), target.registration("x", "ready")));
        store.put(ConfigurationDocument.KEY, GatewayFixtures.configuration(1, "/r/"));
        String text = GatewayFixtures.settings(store.endpoint());
        GatewaySettings settings = GatewaySettings.from(IniFile.parse("rehearsal", text));
        startGateway(text);
        awaitListening(settings.self().callerEndpoint());
        boolean served =
                serves(new CallerStandIn(settings.self().callerEndpoint(), "a.example"), targets);
        CallerStandIn.get(
                settings.discovery(),
                DiscoveryCalls.DISCOVERY_PATH + "?name=a.example&region=r&zone=zone-a");
        CallerStandIn.get(settings.readiness(), DiscoveryCalls.READINESS_PATH);
        store.put(ConfigurationDocument.KEY, GatewayFixtures.configuration(2, "/other/"));
        return served;
    }

    /** Starts the program itself, so that the classes of its command line are listed too. */
    private static void startGateway(String settings) {
        try {
            Path file = Files.createTempFile("rehearsal", ".ini");
            Files.writeString(file, settings);
            file.toFile().deleteOnExit();
            String[] arguments = {"--settings", file.toString()};
            Thread gateway = new Thread(() -> GatewayMain.main(arguments), "gateway");
            gateway.setDaemon(true);
            gateway.start();
        } catch (IOException failure) {
            throw new OperationException("write the settings", "rehearsal", "No file.", failure);
        }
    }

    private static void awaitListening(Endpoint callers) {
        for (int tries = 0; tries < MOST_TRIES; tries++) {
            try {
                new Socket(callers.host(), callers.port()).close();
                return;
            } catch (IOException notYet) {
                LockSupport.parkNanos(PAUSE_NANOS);
            }
        }
    }

    private static boolean serves(CallerStandIn caller, List<SigningTargetStandIn> targets) {
        int tries = 0;
        while (CallerStandIn.status(caller.send("GET /r/", "warm", "")) != OK) {
            if (++tries > MOST_TRIES) {
                return false;
            }
            LockSupport.parkNanos(PAUSE_NANOS);
        }
        for (Behaviour behaviour :
                List.of(Behaviour.RESPOND, Behaviour.FAIL, Behaviour.CLOSE, Behaviour.SHED)) {
            targets.forEach(target -> target.setBehaviour(seen -> behaviour));
            for (int number = 0; number < REQUESTS; number++) {
                caller.send("GET /r/", "read-" + number, "");
                caller.send("POST /l/", "lock-" + number, "body");
            }
        }
        return true;
    }
}
