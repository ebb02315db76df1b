package org.dahliapass.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.dahliapass.decisions.limits.FleetRateLimiter;
import org.dahliapass.decisions.limits.LimitMessage;
import org.dahliapass.decisions.limits.LimitingVms;
import org.dahliapass.kernel.ControlLoop;
import org.dahliapass.kernel.Kernel;
import org.dahliapass.kernel.KernelService;
import org.dahliapass.kernel.PeriodicTask;
import org.dahliapass.model.routing.Customer;

/**
 * Holds the rate limits of customers together with the other VMs that serve callers; any thread may
 * use it.
 */
final class CustomerLimits implements KernelService {
    /** The service name in the kernel. */
    static final String NAME = "customer-limits";

    private static final Duration REPORT_PERIOD = Duration.ofMillis(100);

    private final GatewaySettings mSettings;
    private final Supplier<LimitingVms> mVms;
    private final RandomGenerator mRandom;
    private final PeerExchange mExchange;
    private FleetRateLimiter mLimiter;
    private ControlLoop mLoop;
    private PeriodicTask mReportTask;

    /**
     * Creates the limits of a VM.
     *
     * @param vms the VMs that divide the limits
     */
    CustomerLimits(
            GatewaySettings settings,
            Supplier<LimitingVms> vms,
            PeerExchange exchange,
            RandomGenerator random) {
        mSettings = settings;
        mVms = vms;
        mExchange = exchange;
        mRandom = random;
    }

    @Override
    public CompletableFuture<Void> start(Kernel kernel) {
        mLoop = kernel.find(ControlLoop.NAME, ControlLoop.class);
        mLimiter =
                new FleetRateLimiter(
                        mSettings.self().name(),
                        mSettings.limits().sharing(),
                        mSettings.limits().tolerance(),
                        mLoop.nowMillis(),
                        mRandom);
        mReportTask = new PeriodicTask(mLoop, REPORT_PERIOD, this::report);
        mExchange.setLimitListener(this::onMessage);
        return CompletableFuture.completedFuture(null);
    }

    /**
     * Takes a token for a request of a customer if its limit allows one.
     *
     * @return empty if a token was taken; otherwise the time until one is available, in
     *     milliseconds
     */
    OptionalLong tryAcquire(Customer customer) {
        if (!customer.limit().isLimited()) {
            return OptionalLong.empty();
        }
        OptionalLong wait;
        List<LimitMessage> messages = List.of();
        synchronized (this) {
            long now = mLoop.nowMillis();
            updateVms(now);
            boolean wasActive = mLimiter.isActive();
            wait = mLimiter.tryAcquire(customer.name(), customer.limit(), now);
            if (!wasActive && mLimiter.isActive()) {
                messages = mLimiter.poll(now);
                mReportTask.wake();
            }
        }
        try {
            send(messages);
        } catch (RuntimeException | Error failure) {
            if (wait.isEmpty()) {
                release(customer);
            }
            throw failure;
        }
        return wait;
    }

    /** Returns the token of a request that was not sent to any target. */
    synchronized void release(Customer customer) {
        mLimiter.release(customer.name());
    }

    private Optional<Duration> report() {
        List<LimitMessage> messages;
        boolean isActive;
        synchronized (this) {
            updateVms(mLoop.nowMillis());
            messages = mLimiter.poll(mLoop.nowMillis());
            isActive = mLimiter.isActive();
        }
        send(messages);
        return isActive ? Optional.of(REPORT_PERIOD) : Optional.empty();
    }

    private void onMessage(LimitMessage message) {
        List<LimitMessage> replies;
        synchronized (this) {
            updateVms(mLoop.nowMillis());
            replies = mLimiter.onMessage(message, mLoop.nowMillis());
            if (mLimiter.isActive()) {
                mReportTask.wake();
            }
        }
        send(replies);
    }

    private void updateVms(long nowMillis) {
        LimitingVms vms = mVms.get();
        mLimiter.onVms(vms.vms(), vms.isolated(), nowMillis);
    }

    /** Sends all messages for one VM together. */
    private void send(List<LimitMessage> messages) {
        Map<String, List<LimitMessage>> byReceiver = new LinkedHashMap<>();
        for (LimitMessage message : messages) {
            byReceiver
                    .computeIfAbsent(message.receiver(), unused -> new ArrayList<>())
                    .add(message);
        }
        byReceiver.forEach(mExchange::sendLimits);
    }
}
