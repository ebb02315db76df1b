package org.dahliapass.gateway;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.dahliapass.decisions.admission.CustomerCount;
import org.dahliapass.decisions.limits.LimitMessage;
import org.dahliapass.decisions.poison.SuspectReport;
import org.dahliapass.decisions.traffic.Observation;
import org.dahliapass.decisions.traffic.TargetObservation;
import org.dahliapass.decisions.traffic.TargetReport;
import org.dahliapass.gateway.UnexpectedFailures.Step;
import org.dahliapass.kernel.ControlLoop;
import org.dahliapass.kernel.Kernel;
import org.dahliapass.kernel.KernelService;
import org.dahliapass.kernel.OperationException;
import org.dahliapass.kernel.PeriodicTask;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.ServiceId;
import org.dahliapass.model.VmIdentity;
import org.dahliapass.model.routing.FleetVm;
import org.dahliapass.model.routing.TargetRegistration;
import org.dahliapass.wire.message.LimitUse;
import org.dahliapass.wire.message.TargetRest;
import org.dahliapass.wire.message.TrustNews;

/**
 * Exchanges observations of targets, reports of in-flight requests and which targets are leaving
 * with the other VMs that serve callers, so that a VM does not have to detect each failure by its
 * own lost requests.
 *
 * <p>Sends one datagram of about 80 bytes per observation and VM; a lost one delays the detection
 * of a failure by some seconds. Sends one report per service, VM and period under load, with about
 * 20 bytes per target.
 */
final class PeerExchange implements KernelService {
    /** The service name in the kernel. */
    static final String NAME = "work-exchange";

    private static final int VERSION = 1;

    /** A third of the usual response time, so that most requests are reported while they run. */
    private static final Duration REPORT_PERIOD = Duration.ofMillis(100);

    /**
     * The minimum interval between reports per receiving VM, in milliseconds. Limits a VM to 80
     * sent and received reports per service and second; without it, the reports of the fleet grow
     * with the square of its size.
     */
    private static final double MIN_INTERVAL_MILLIS_PER_VM = 12.5;

    /** The time for which reports continue after the last request. */
    private static final long REPORT_AFTER_USE_MILLIS = 1_000;

    /**
     * The maximum size of a UDP payload, in bytes. A longer datagram than the receive buffer is
     * truncated silently, and the size of a report grows with the load.
     */
    private static final int MAX_DATAGRAM_BYTES = 65_507;

    private final GatewaySettings mSettings;
    private final EventLoopGroup mLoops;
    private final TargetReachability mReachability;
    private final UnexpectedFailures mFailures;
    private final EventLog mLog;
    private StoreFollower mFollower;
    private ServicePools mPools;
    private ControlLoop mLoop;
    private PeriodicTask mReportTask;
    private long mLastReportMillis = Long.MIN_VALUE / 2;
    private volatile long mLastRequestMillis = Long.MIN_VALUE / 2;
    private volatile Channel mChannel;
    private volatile Consumer<List<SuspectReport>> mSuspectListener = reports -> {};
    private volatile Consumer<LimitMessage> mLimitListener = message -> {};

    PeerExchange(GatewaySettings settings, TargetConnections connections, EventLog log) {
        mSettings = settings;
        mLoops = connections.loops();
        mReachability = connections.reachability();
        mFailures = connections.failures();
        mLog = log;
    }

    @Override
    public CompletableFuture<Void> start(Kernel kernel) {
        mFollower = kernel.find(StoreFollower.NAME, StoreFollower.class);
        mPools = kernel.find(ServicePools.NAME, ServicePools.class);
        mPools.setObservationListener(this::onObservation);
        mLoop = kernel.find(ControlLoop.NAME, ControlLoop.class);
        mReportTask = new PeriodicTask(mLoop, REPORT_PERIOD, this::report);
        Endpoint peers = mSettings.self().peerEndpoint();
        CompletableFuture<Void> started = new CompletableFuture<>();
        ChannelFuture bound =
                new Bootstrap()
                        .group(mLoops)
                        .channel(NioDatagramChannel.class)
                        .disableResolver()
                        .option(
                                ChannelOption.RECVBUF_ALLOCATOR,
                                new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES))
                        .handler(new Receiver())
                        .bind(new InetSocketAddress(peers.host(), peers.port()));
        mChannel = bound.channel();
        bound.addListener(
                done -> {
                    if (done.isSuccess()) {
                        started.complete(null);
                        return;
                    }
                    started.completeExceptionally(
                            new OperationException(
                                    "listen for peers",
                                    peers.toString(),
                                    "The UDP port cannot be bound; it must be free.",
                                    done.cause()));
                });
        return started;
    }

    /** Starts reporting, because this VM has requests in flight; any thread may call this. */
    void onRequest() {
        mLastRequestMillis = mLoop.nowMillis();
        mReportTask.wake();
    }

    /**
     * Sends an observation of a target to the other VMs, unless it shows only that this VM reaches
     * no target; any thread may call this.
     */
    private void onObservation(ServiceId service, TargetObservation observation) {
        if (observation.observation().hasResponse()) {
            sendObservation(service, observation);
            return;
        }
        mReachability.reportFailure(() -> sendObservation(service, observation));
    }

    private void sendObservation(ServiceId service, TargetObservation observation) {
        Optional<TargetRegistration> registration =
                mPools.find(service.name())
                        .flatMap(pool -> pool.registrationAt(observation.target()));
        if (registration.isEmpty()) {
            return;
        }
        logObservation(
                service.name(),
                registration.get(),
                observation.observation(),
                mSettings.self().name());
        byte[] datagram =
                TrustNews.newBuilder()
                        .setVersion(VERSION)
                        .setSender(mSettings.self().name())
                        .setService(service.name())
                        .setInstance(registration.get().incarnation())
                        .setEnd(WorkReportCodec.encode(observation.observation()))
                        .setSentAgeMillis(
                                (int) Math.max(0, mLoop.nowMillis() - observation.sentMillis()))
                        .build()
                        .toByteArray();
        broadcast(datagram);
    }

    /** Sets the listener for suspect reports of other VMs; to be called before the start. */
    void setSuspectListener(Consumer<List<SuspectReport>> listener) {
        mSuspectListener = listener;
    }

    /** Sends suspect reports to the other VMs that serve callers; any thread may call this. */
    void sendSuspects(List<SuspectReport> suspects) {
        long now = mLoop.nowMillis();
        broadcast(
                TrustNews.newBuilder()
                        .setVersion(VERSION)
                        .setSender(mSettings.self().name())
                        .addAllSuspects(
                                suspects.stream()
                                        .map(suspect -> SuspectCodec.encode(suspect, now))
                                        .toList())
                        .build()
                        .toByteArray());
    }

    /** Sets the listener for the use of limits at other VMs; to be called during the start. */
    void setLimitListener(Consumer<LimitMessage> listener) {
        mLimitListener = listener;
    }

    /** Sends this VM's use of limits to another VM; any thread may call this. */
    void sendLimits(String receiver, List<LimitMessage> messages) {
        TrustNews.Builder news =
                TrustNews.newBuilder().setVersion(VERSION).setSender(mSettings.self().name());
        for (LimitMessage message : messages) {
            if (message.content() instanceof LimitMessage.Use use) {
                news.addLimits(LimitCodec.encode(message.customer(), use));
            }
        }
        byte[] datagram = news.build().toByteArray();
        mFollower.view().plan().advertisedVms().stream()
                .filter(vm -> vm.name().equals(receiver))
                .forEach(vm -> send(datagram, vm.peerEndpoint()));
    }

    /** Reports the in-flight requests to the other VMs that serve callers; control thread only. */
    private Optional<Duration> report() {
        long now = mLoop.nowMillis();
        int receivers = mFollower.view().plan().advertisedVms().size();
        // Half a period early, so that the tick nearest to the due time is used.
        long intervalMillis = Math.round(receivers * MIN_INTERVAL_MILLIS_PER_VM);
        double dueMillis = intervalMillis - REPORT_PERIOD.toMillis() / 2.0;
        if (now - mLastReportMillis < dueMillis) {
            return Optional.of(REPORT_PERIOD);
        }
        mLastReportMillis = now;
        boolean isInUse = now - mLastRequestMillis < REPORT_AFTER_USE_MILLIS;
        for (String service : mPools.serviceNames()) {
            Optional<ServicePool> pool = mPools.find(service);
            if (pool.isPresent()) {
                isInUse |= reportOrLog(service, pool.get(), intervalMillis);
            }
        }
        return isInUse ? Optional.of(REPORT_PERIOD) : Optional.empty();
    }

    /** Reports on one service; an exception doesn't keep the others from being reported. */
    private boolean reportOrLog(String service, ServicePool pool, long intervalMillis) {
        boolean[] isInUse = new boolean[1];
        boolean isDone =
                mFailures.run(Step.TIMER, () -> isInUse[0] = report(service, pool, intervalMillis));
        return isInUse[0] || !isDone;
    }

    /**
     * Reports the in-flight requests of one service and what its targets said.
     *
     * @param intervalMillis the interval of the reports, in milliseconds
     * @return whether there is anything to report
     */
    private boolean report(String service, ServicePool pool, long intervalMillis) {
        pool.runtime().setReportIntervalMillis(Math.max(REPORT_PERIOD.toMillis(), intervalMillis));
        List<TargetReport> reports = pool.runtime().drainReport();
        if (!mReachability.isReached()) {
            reports = reports.stream().map(TargetReport::withoutSilence).toList();
        }
        List<String> leaving =
                mPools.availability().recentlyLeaving(intervalMillis, mLoop.nowMillis()).stream()
                        .filter(pool.byIncarnation()::containsKey)
                        .toList();
        List<String> replaced =
                mPools
                        .availability()
                        .replaced()
                        .recentlyReplaced(intervalMillis, mLoop.nowMillis())
                        .stream()
                        .filter(pool.byIncarnation()::containsKey)
                        .toList();
        List<TargetRest> rests =
                WorkReportCodec.encodeRests(
                        pool.runtime().recentRests(intervalMillis), pool.registrations());
        List<CustomerCount> customers = pool.runtime().customerReport();
        boolean isEmpty =
                reports.isEmpty()
                        && leaving.isEmpty()
                        && replaced.isEmpty()
                        && rests.isEmpty()
                        && customers.isEmpty();
        if (isEmpty) {
            return false;
        }
        byte[] datagram =
                TrustNews.newBuilder()
                        .setVersion(VERSION)
                        .setSender(mSettings.self().name())
                        .setService(service)
                        .addAllLeaving(leaving)
                        .addAllReplaced(replaced)
                        .addAllRests(rests)
                        .addAllCustomerUse(CustomerUseCodec.encode(customers))
                        .addAllWork(
                                WorkReportCodec.encode(
                                        reports,
                                        pool.registrations(),
                                        pool.index(),
                                        mLoop.nowMillis()))
                        .build()
                        .toByteArray();
        broadcast(datagram);
        return true;
    }

    private void broadcast(byte[] datagram) {
        for (FleetVm vm : mFollower.view().plan().advertisedVms()) {
            if (!vm.name().equals(mSettings.self().name())) {
                send(datagram, vm.peerEndpoint());
            }
        }
    }

    private void send(byte[] datagram, Endpoint to) {
        InetSocketAddress address = new InetSocketAddress(to.host(), to.port());
        ChannelFuture unused =
                mChannel.writeAndFlush(
                        new DatagramPacket(Unpooled.wrappedBuffer(datagram), address));
    }

    private void onMessage(TrustNews message) {
        if (message.getSuspectsCount() > 0) {
            isolate(() -> onSuspects(message));
        }
        for (LimitUse use : message.getLimitsList()) {
            isolate(
                    () ->
                            mLimitListener.accept(
                                    LimitCodec.decode(
                                            message.getSender(), mSettings.self().name(), use)));
        }
        Optional<ServicePool> pool = mPools.find(message.getService());
        if (pool.isEmpty()) {
            return;
        }
        for (String incarnation : message.getLeavingList()) {
            isolate(
                    () ->
                            mPools.onPeerLeaving(
                                    message.getService(), incarnation, message.getSender()));
        }
        for (String incarnation : message.getReplacedList()) {
            isolate(
                    () ->
                            mPools.onPeerReplaced(
                                    message.getService(), incarnation, message.getSender()));
        }
        isolate(
                () ->
                        WorkReportCodec.decodeRests(
                                        message.getRestsList(), pool.get().byIncarnation())
                                .forEach(pool.get().runtime()::onPeerRest));
        if (message.getCustomerUseCount() > 0) {
            isolate(
                    () ->
                            pool.get()
                                    .runtime()
                                    .onPeerCustomerReport(
                                            message.getSender(),
                                            CustomerUseCodec.decode(message.getCustomerUseList())));
        }
        if (message.getWorkCount() > 0) {
            isolate(() -> onReport(pool.get(), message));
        }
        if (!message.getInstance().isEmpty()) {
            isolate(() -> onObservation(pool.get(), message));
        }
    }

    /** Handles a part of a message; an exception doesn't keep the others from being handled. */
    private void isolate(Runnable part) {
        mFailures.run(Step.PEER_MESSAGE, part);
    }

    private void onSuspects(TrustNews message) {
        long now = mLoop.nowMillis();
        mSuspectListener.accept(
                message.getSuspectsList().stream()
                        .map(suspect -> SuspectCodec.decode(suspect, now))
                        .toList());
    }

    private void onObservation(ServicePool pool, TrustNews message) {
        Optional<Observation> observation = WorkReportCodec.decode(message.getEnd());
        if (observation.isEmpty()) {
            return;
        }
        TargetRegistration target = pool.byIncarnation().get(message.getInstance());
        if (target == null) {
            return;
        }
        long sentMillis = mLoop.nowMillis() - message.getSentAgeMillis();
        if (observation.get().hasResponse()) {
            mReachability.onPeerReached(target.endpoint(), sentMillis);
        }
        pool.runtime()
                .onPeerObservation(
                        new TargetObservation(target.endpoint(), observation.get(), sentMillis));
        logObservation(message.getService(), target, observation.get(), message.getSender());
    }

    private void onReport(ServicePool pool, TrustNews message) {
        List<TargetReport> report =
                WorkReportCodec.decode(message.getWorkList(), pool.index(), mLoop.nowMillis());
        for (TargetReport target : report) {
            target.lastAnsweredMillis()
                    .ifPresent(sent -> mReachability.onPeerReached(target.target(), sent));
        }
        pool.runtime().onPeerReport(new VmIdentity(message.getSender(), 0), report);
    }

    private void logObservation(
            String service, TargetRegistration target, Observation observation, String observer) {
        mLog.write(
                EventLog.Kind.BELIEF,
                "work_ended",
                line ->
                        line.put("service", service)
                                .put("instance", target.instance())
                                .put("target", target.endpoint().toString())
                                .put("end", observation.name().toLowerCase(Locale.ROOT))
                                .put("seen_by", observer));
    }

    @Override
    public CompletableFuture<Void> stop() {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        ChannelFuture unused = mChannel.close().addListener(done -> stopped.complete(null));
        return stopped;
    }

    /** Receives datagrams of the other VMs; logs and drops malformed ones. */
    private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            try {
                TrustNews message = TrustNews.parseFrom(ByteBufUtil.getBytes(packet.content()));
                isolate(() -> onMessage(message));
            } catch (InvalidProtocolBufferException failure) {
                mLog.write(
                        EventLog.Kind.DEPENDENCY,
                        "datagram_refused",
                        line ->
                                line.put("peer", packet.sender().toString())
                                        .put("cause", failure.getMessage()));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable failure) {
            mLog.write(
                    EventLog.Kind.DEPENDENCY,
                    "datagrams_failed",
                    line -> line.put("cause", failure.toString()));
        }
    }
}
