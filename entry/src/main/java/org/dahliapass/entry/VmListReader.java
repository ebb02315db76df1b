package org.dahliapass.entry;

import java.time.Duration;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.dahliapass.kernel.ControlLoop;
import org.dahliapass.kernel.Futures;
import org.dahliapass.model.Endpoint;
import org.dahliapass.registry.VmList;
import org.dahliapass.registry.VmListClient;

/**
 * Polls the platform's VM list for addresses to contact: often while this VM knows no other, rarely
 * afterwards.
 *
 * <p>The list may be outdated, so it never decides membership. Blocking reads are avoided, since
 * each VM of the fleet would hold one and receive the whole list at each change.
 */
final class VmListReader {
    private static final Duration ALONE_PERIOD = Duration.ofMillis(500);
    private static final Duration STARTUP_PERIOD = Duration.ofSeconds(10);
    private static final Duration PERIOD = Duration.ofMinutes(5);
    private static final Duration STARTUP_DURATION = Duration.ofMinutes(2);

    private final VmListClient mClient;
    private final ControlLoop mLoop;
    private final RandomGenerator mRandom;
    private final BooleanSupplier mIsAlone;
    private final Consumer<List<Endpoint>> mOnAddresses;
    private final long mStartedMillis;
    private volatile boolean mStopped;

    /**
     * Creates a reader, which {@link #poll} starts.
     *
     * @param isAlone whether this VM knows no other VM; called on the control thread
     * @param onAddresses the receiver of the peer addresses; called on the control thread
     */
    VmListReader(
            VmListClient client,
            ControlLoop loop,
            RandomGenerator random,
            BooleanSupplier isAlone,
            Consumer<List<Endpoint>> onAddresses) {
        mClient = client;
        mLoop = loop;
        mRandom = random;
        mIsAlone = isAlone;
        mOnAddresses = onAddresses;
        mStartedMillis = loop.nowMillis();
    }

    /** Reads the list and schedules the next read, until stopped. */
    void poll() {
        if (mStopped) {
            return;
        }
        Futures.whenDone(
                mClient.watch(0, Duration.ZERO),
                (list, failure) -> mLoop.execute(() -> onResponse(list, failure)));
    }

    private void onResponse(VmList list, Throwable failure) {
        if (failure == null) {
            mOnAddresses.accept(
                    list.vms().stream().map(entry -> entry.vm().peerEndpoint()).toList());
        }
        Duration period = period();
        // Jitter prevents synchronized reads by VMs that started together.
        mLoop.schedule(period.plusMillis(mRandom.nextLong(period.toMillis())), this::poll);
    }

    /** VMs that start together may form separate groups until they read the list again. */
    private Duration period() {
        if (mIsAlone.getAsBoolean()) {
            return ALONE_PERIOD;
        }
        boolean starting = mLoop.nowMillis() - mStartedMillis < STARTUP_DURATION.toMillis();
        return starting ? STARTUP_PERIOD : PERIOD;
    }

    /** Stops polling. */
    void stop() {
        mStopped = true;
    }
}
