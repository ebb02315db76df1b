package org.dahliapass.lab.restore;

import java.io.OutputStream;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;
import org.dahliapass.gateway.EventLog;
import org.dahliapass.gateway.GatewaySettings;
import org.dahliapass.gateway.GatewayVm;
import org.dahliapass.kernel.IniFile;
import org.dahliapass.kernel.MonotonicClock;
import org.dahliapass.model.Endpoint;
import org.dahliapass.platform.ConfigurationDocument;
import org.dahliapass.standins.CallerStandIn;
import org.dahliapass.standins.GatewayFixtures;
import org.dahliapass.standins.MetadataStoreStandIn;
import org.dahliapass.standins.MetadataTable;
import org.dahliapass.standins.SigningTargetStandIn;

/** A fleet of gateway VMs in one process, whose store is restored again and again. */
final class RestoreExperiment implements AutoCloseable {
    private static final int OK = 200;
    private static final int TARGETS = 6;
    private static final int MAX_LOST_CONFIGURATIONS = 3;
    private static final int MAX_OTHER_WRITES = 40;
    private static final int MAX_AWAY_MILLIS = 1_500;
    private static final int MAX_QUIET_MILLIS = 2_000;
    private static final long POLL_MILLIS = 10;
    private static final long GIVE_UP_MILLIS = 20_000;
    private static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c");

    private final SplittableRandom mRandom;
    private final Clock mClock = new MonotonicClock();
    private final MetadataStoreStandIn mStore = new MetadataStoreStandIn(0, mClock);
    private final List<SigningTargetStandIn> mTargets =
            IntStream.range(0, TARGETS)
                    .mapToObj(number -> new SigningTargetStandIn("i-" + number))
                    .toList();
    private final List<GatewayVm> mVms = new ArrayList<>();
    private final List<Endpoint> mCallerEndpoints = new ArrayList<>();
    private long mVersion;

    /** Starts the fleet and waits until all VMs serve. */
    RestoreExperiment(int vms, SplittableRandom random) {
        mRandom = random;
        mStore.start();
        mTargets.forEach(SigningTargetStandIn::start);
        mTargets.forEach(target -> mStore.put(target.key(), target.registration("x", "ready")));
        configure();
        for (int number = 0; number < vms; number++) {
            start(number);
        }
        measureDelays();
    }

    private void start(int number) {
        String text =
                GatewayFixtures.settings(mStore.endpoint())
                        .replace("name = vm", "name = vm-" + number)
                        .replace("zone-a", ZONES.get(number % ZONES.size()));
        GatewaySettings settings = GatewaySettings.from(IniFile.parse("restore", text));
        EventLog log =
                new EventLog(
                        mClock, "vm-" + number, new PrintStream(OutputStream.nullOutputStream()));
        GatewayVm vm = new GatewayVm(settings, mClock, log);
        vm.start().join();
        mVms.add(vm);
        mCallerEndpoints.add(settings.self().callerEndpoint());
    }

    /** Restores the store once, writes a configuration and waits until it is in force. */
    RestoreResult restore() {
        MetadataTable.Backup backup = mStore.backup();
        long before = mStore.revision();
        int configurations = mRandom.nextInt(MAX_LOST_CONFIGURATIONS + 1);
        for (int number = 0; number < configurations; number++) {
            configure();
        }
        writeOthers();
        sleep(mRandom.nextInt(MAX_QUIET_MILLIS));
        int lostChanges = (int) (mStore.revision() - before);
        long awayMillis = mRandom.nextInt(MAX_AWAY_MILLIS);
        mStore.setUnavailable(true);
        sleep(awayMillis);
        mStore.restore(backup);
        int reads = mStore.readCount();
        mStore.setUnavailable(false);
        sleep(mRandom.nextInt(MAX_QUIET_MILLIS));
        // So that the revision may pass the one before the restore.
        writeOthers();
        configure();
        List<Long> delays = measureDelays();
        return new RestoreResult(lostChanges, awayMillis, delays, mStore.readCount() - reads);
    }

    private void writeOthers() {
        for (int number = mRandom.nextInt(MAX_OTHER_WRITES); number > 0; number--) {
            mStore.put("op/other", "value " + number);
        }
    }

    private void configure() {
        mVersion++;
        mStore.put(
                ConfigurationDocument.KEY, GatewayFixtures.configuration(mVersion, path(mVersion)));
    }

    private static String path(long version) {
        return "/r" + version + "/";
    }

    /** Returns for each VM how long it took until it served the newest route. */
    private List<Long> measureDelays() {
        long startMillis = mClock.millis();
        Map<Integer, Long> delays = new HashMap<>();
        while (delays.size() < mVms.size()) {
            long elapsedMillis = mClock.millis() - startMillis;
            for (int vm = 0; vm < mVms.size(); vm++) {
                if (!delays.containsKey(vm) && (elapsedMillis > GIVE_UP_MILLIS || serves(vm))) {
                    delays.put(vm, mClock.millis() - startMillis);
                }
            }
            sleep(POLL_MILLIS);
        }
        return List.copyOf(delays.values());
    }

    private boolean serves(int vm) {
        CallerStandIn caller = new CallerStandIn(mCallerEndpoints.get(vm), "a.example");
        try {
            return CallerStandIn.status(caller.send("GET " + path(mVersion), "read", "")) == OK;
        } catch (UncheckedIOException closed) {
            return false;
        }
    }

    private static void sleep(long millis) {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis));
    }

    @Override
    public void close() {
        mVms.forEach(vm -> vm.stopNow().join());
        mTargets.forEach(SigningTargetStandIn::close);
        mStore.close();
    }
}
