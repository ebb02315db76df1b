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
 * Reads the platform's VM list: at once and often while this VM knows nobody, rarely after that.
 *
 * <p>The list lags both ways: it gives addresses to contact, never a verdict. Guards against each
 * VM waiting on it, which at 3,700 VMs would be as many waiting calls on the platform and a whole
 * list to each at each change; members tell each other of changes sooner.
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
     * Prepares the reading.
     *
     * @param alone tells whether this VM knows no other; asked on the control thread
     * @param onAddresses takes the addresses for peers, on the control thread
     */
    VmListReader(
            VmListClient client,
            ControlLoop loop,
            RandomGenerator random,
            BooleanSupplier alone,
            Consumer<List<Endpoint>> onAddresses) {
        mClient = client;
        mLoop = loop;
        mRandom = random;
        mIsAlone = alone;
        mOnAddresses = onAddresses;
        mStartedMillis = loop.nowMillis();
    }

    /** Reads the list now and goes on by itself until it is stopped. */
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
        Duration pause = period();
        // Spread, so that VMs that started together don't call together for ever.
        mLoop.schedule(pause.plusMillis(mRandom.nextLong(pause.toMillis())), this::poll);
    }

    /**
     * Guards against a fleet that starts all at once with a list that lags: its VMs may find each
     * other in separate groups, which only a later look at the list brings together.
     */
    private Duration period() {
        if (mIsAlone.getAsBoolean()) {
            return ALONE_PERIOD;
        }
        boolean young = mLoop.nowMillis() - mStartedMillis < STARTUP_DURATION.toMillis();
        return young ? STARTUP_PERIOD : PERIOD;
    }

    /** Stops reading. */
    void stop() {
        mStopped = true;
    }
}
