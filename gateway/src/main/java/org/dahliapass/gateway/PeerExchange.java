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
import org.dahliapass.decisions.poison.SuspectReport;
import org.dahliapass.decisions.traffic.Observation;
import org.dahliapass.decisions.traffic.TargetObservation;
import org.dahliapass.decisions.traffic.TargetReport;
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
import org.dahliapass.wire.message.TrustNews;

/**
 * Tells the VMs that take callers of work that failed, or that a doubted target answered, and ten
 * times a second what is in flight where, so that each need not find out by losing requests of its
 * own.
 *
 * <p>One datagram an end and VM, about 80 bytes; a lost one costs a preference for some seconds.
 * One report a service, VM and period while there is work, about 25 bytes a target with work.
 */
final class PeerExchange implements KernelService {
    /** The name under which the kernel holds the exchange. */
    static final String NAME = "work-exchange";

    private static final int VERSION = 1;

    /**
     * The time between reports: a third of the time of an answer, 290 ms, so that most work is told
     * of while it runs.
     */
    private static final Duration REPORT_PERIOD = Duration.ofMillis(100);

    /**
     * The least time for each VM that is told, in milliseconds: a VM sends and takes 80 reports of
     * a service a second at most, however many VMs take callers. Without it the reports of the
     * fleet grow with the square of their number.
     */
    private static final double MILLIS_A_TAKER = 12.5;

    /** Reports go on for a second after work, for requests that follow at some distance. */
    private static final long SECOND_MILLIS = 1_000;

    /**
     * The longest datagram of the protocol, in bytes. What is longer than the receive buffer is cut
     * off without a sign to its sender, and a report grows with the work that a VM has.
     */
    private static final int LONGEST_DATAGRAM = 65_507;

    private final GatewaySettings mSettings;
    private final EventLoopGroup mLoops;
    private final EventLog mLog;
    private StoreFollower mFollower;
    private ServicePools mPools;
    private ControlLoop mLoop;
    private PeriodicTask mReports;
    private long mReportedMillis = Long.MIN_VALUE / 2;
    private volatile long mWorkMillis = Long.MIN_VALUE / 2;
    private volatile Channel mChannel;
    private volatile Consumer<List<SuspectReport>> mSuspectListener = news -> {};

    PeerExchange(GatewaySettings settings, EventLoopGroup loops, EventLog log) {
        mSettings = settings;
        mLoops = loops;
        mLog = log;
    }

    @Override
    public CompletableFuture<Void> start(Kernel kernel) {
        mFollower = kernel.find(StoreFollower.NAME, StoreFollower.class);
        mPools = kernel.find(ServicePools.NAME, ServicePools.class);
        mPools.setOutcomeListener(this::tell);
        mLoop = kernel.find(ControlLoop.NAME, ControlLoop.class);
        mReports = new PeriodicTask(mLoop, REPORT_PERIOD, this::report);
        Endpoint peers = mSettings.self().peerEndpoint();
        CompletableFuture<Void> started = new CompletableFuture<>();
        ChannelFuture bound =
                new Bootstrap()
                        .group(mLoops)
                        .channel(NioDatagramChannel.class)
                        .disableResolver()
                        .option(
                                ChannelOption.RECVBUF_ALLOCATOR,
                                new FixedRecvByteBufAllocator(LONGEST_DATAGRAM))
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
                                    "The port can't be used.",
                                    done.cause()));
                });
        return started;
    }

    /** Takes that this VM has work, of which the others are to hear; any thread may call this. */
    void onRequest() {
        mWorkMillis = mLoop.nowMillis();
        mReports.wake();
    }

    /** Tells the other VMs how a piece of work ended; any thread may call this. */
    private void tell(ServiceId service, TargetObservation ended) {
        Optional<TargetRegistration> registration =
                mPools.find(service.name()).flatMap(pool -> pool.registrationAt(ended.target()));
        if (registration.isEmpty()) {
            return;
        }
        logEnd(service.name(), registration.get(), ended.observation(), mSettings.self().name());
        byte[] news =
                TrustNews.newBuilder()
                        .setVersion(VERSION)
                        .setSender(mSettings.self().name())
                        .setService(service.name())
                        .setInstance(registration.get().incarnation())
                        .setEnd(WorkReportCodec.encode(ended.observation()))
                        .setSentAgeMillis((int) Math.max(0, mLoop.nowMillis() - ended.sentMillis()))
                        .build()
                        .toByteArray();
        sendToTakers(news);
    }

    /** Sets who takes what other VMs tell of suspected requests; before the start. */
    void setSuspectListener(Consumer<List<SuspectReport>> listener) {
        mSuspectListener = listener;
    }

    /** Tells the other VMs that take callers of suspected requests; any thread may call this. */
    void sendSuspects(List<SuspectReport> news) {
        long now = mLoop.nowMillis();
        sendToTakers(
                TrustNews.newBuilder()
                        .setVersion(VERSION)
                        .setSender(mSettings.self().name())
                        .addAllSuspects(
                                news.stream().map(one -> SuspectCodec.encode(one, now)).toList())
                        .build()
                        .toByteArray());
    }

    /** Reports the work of this VM to the other VMs that take callers; control thread only. */
    private Optional<Duration> report() {
        long now = mLoop.nowMillis();
        int takers = mFollower.view().plan().advertisedVms().size();
        // Half a step early, so that the step nearest to the report's time is taken.
        double dueMillis = takers * MILLIS_A_TAKER - REPORT_PERIOD.toMillis() / 2.0;
        if (now - mReportedMillis < dueMillis) {
            return Optional.of(REPORT_PERIOD);
        }
        mReportedMillis = now;
        boolean hasWork = now - mWorkMillis < SECOND_MILLIS;
        for (String service : mPools.serviceNames()) {
            hasWork |= mPools.find(service).map(pool -> report(service, pool)).orElse(false);
        }
        return hasWork ? Optional.of(REPORT_PERIOD) : Optional.empty();
    }

    /** Reports the work on one service; returns whether there was any. */
    private boolean report(String service, ServicePool pool) {
        List<TargetReport> work = pool.runtime().drainReport();
        if (work.isEmpty()) {
            return false;
        }
        byte[] news =
                TrustNews.newBuilder()
                        .setVersion(VERSION)
                        .setSender(mSettings.self().name())
                        .setService(service)
                        .addAllWork(
                                WorkReportCodec.encode(
                                        work, pool.registrations(), mLoop.nowMillis()))
                        .build()
                        .toByteArray();
        sendToTakers(news);
        return true;
    }

    private void sendToTakers(byte[] news) {
        for (FleetVm vm : mFollower.view().plan().advertisedVms()) {
            if (!vm.name().equals(mSettings.self().name())) {
                send(news, vm.peerEndpoint());
            }
        }
    }

    private void send(byte[] news, Endpoint to) {
        InetSocketAddress address = new InetSocketAddress(to.host(), to.port());
        ChannelFuture unused =
                mChannel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(news), address));
    }

    private void onNews(TrustNews news) {
        if (news.getSuspectsCount() > 0) {
            long now = mLoop.nowMillis();
            mSuspectListener.accept(
                    news.getSuspectsList().stream()
                            .map(one -> SuspectCodec.decode(one, now))
                            .toList());
        }
        Optional<ServicePool> pool = mPools.find(news.getService());
        if (pool.isEmpty()) {
            return;
        }
        if (news.getWorkCount() > 0) {
            onReport(pool.get(), news);
        }
        if (news.getInstance().isEmpty()) {
            return;
        }
        Optional<Observation> sign = WorkReportCodec.decode(news.getEnd());
        if (sign.isEmpty()) {
            return;
        }
        TargetRegistration target = pool.get().byIncarnation().get(news.getInstance());
        if (target == null) {
            return;
        }
        long sentMillis = mLoop.nowMillis() - news.getSentAgeMillis();
        pool.get()
                .runtime()
                .onPeerObservation(
                        new TargetObservation(target.endpoint(), sign.get(), sentMillis));
        logEnd(news.getService(), target, sign.get(), news.getSender());
    }

    private void onReport(ServicePool pool, TrustNews news) {
        List<TargetReport> report =
                WorkReportCodec.decode(news.getWorkList(), pool.byIncarnation(), mLoop.nowMillis());
        pool.runtime().onPeerReport(new VmIdentity(news.getSender(), 0), report);
    }

    private void logEnd(
            String service, TargetRegistration target, Observation sign, String witness) {
        mLog.write(
                EventLog.Kind.BELIEF,
                "work_ended",
                line ->
                        line.put("service", service)
                                .put("instance", target.instance())
                                .put("target", target.endpoint().toString())
                                .put("end", sign.name().toLowerCase(Locale.ROOT))
                                .put("seen_by", witness));
    }

    @Override
    public CompletableFuture<Void> stop() {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        ChannelFuture unused = mChannel.close().addListener(done -> stopped.complete(null));
        return stopped;
    }

    /** Takes datagrams of the other VMs; what can't be read is logged and dropped. */
    private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            try {
                onNews(TrustNews.parseFrom(ByteBufUtil.getBytes(packet.content())));
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
