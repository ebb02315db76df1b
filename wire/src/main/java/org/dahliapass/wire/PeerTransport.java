package org.dahliapass.wire;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;
import org.dahliapass.kernel.ComponentLog;
import org.dahliapass.kernel.Kernel;
import org.dahliapass.kernel.KernelService;
import org.dahliapass.kernel.OperationException;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.VmIdentity;
import org.dahliapass.wire.message.Gossip;
import org.dahliapass.wire.message.Identity;
import org.dahliapass.wire.message.PeerReply;
import org.dahliapass.wire.message.PeerRequest;

/**
 * Sends and receives the messages between VMs: datagrams by UDP and requests by TCP, on one port
 * number.
 *
 * <p>Set the handlers and the member check before the start. Only members speak: a message of
 * another fleet, for another incarnation, or of a sender that the member check doesn't know is
 * refused and counted in {@link TrafficCounters#refused}; only a join and a datagram with the
 * sender's own news may come from a VM that isn't a member yet.
 */
public final class PeerTransport implements KernelService {
    /** The name under which the kernel holds the transport. */
    public static final String NAME = "peer-transport";

    /** The version of the messages that this release writes. */
    public static final int VERSION = 1;

    /** A larger datagram isn't sent, since networks may drop its fragments. */
    public static final int MAX_DATAGRAM_BYTES = 1_200;

    private static final ComponentLog LOG = ComponentLog.of("wire");
    private static final int THREADS = 2;
    private static final int BIND_TRIES = 16;
    private static final long STOP_SECONDS = 2;

    private final PeerTransportSettings mSettings;
    private final LinkFilter mFilter;
    private final Identity mSelf;
    private final TrafficCounters mCounters = new TrafficCounters();
    private final AtomicLong mRequestId = new AtomicLong();
    private GossipHandler mGossipHandler = (from, gossip) -> {};
    private RequestHandler mRequestHandler =
            request -> CompletableFuture.failedFuture(new IllegalStateException("No handler set."));
    private Predicate<VmIdentity> mMembers = identity -> false;
    private EventLoopGroup mGroup;
    private PeerConnectionPool mConnections;
    private PeerRequestServer mServer;
    private Channel mTcp;
    private volatile Channel mUdp;

    /** Creates the transport; {@link LinkFilter#ALLOW_ALL} lets everything pass. */
    public PeerTransport(PeerTransportSettings settings, LinkFilter filter) {
        mSettings = settings;
        mFilter = filter;
        mSelf =
                Identity.newBuilder()
                        .setName(settings.self().name())
                        .setIncarnation(settings.self().incarnation())
                        .build();
    }

    /** Sets who takes datagrams. */
    public void setGossipHandler(GossipHandler handler) {
        mGossipHandler = handler;
    }

    /** Sets who answers requests. */
    public void setRequestHandler(RequestHandler handler) {
        mRequestHandler = handler;
    }

    /** Sets how to tell whether a VM is a member; asked on traffic threads. */
    public void setMembershipCheck(Predicate<VmIdentity> members) {
        mMembers = members;
    }

    /** Returns what was sent, received and refused. */
    public TrafficCounters counters() {
        return mCounters;
    }

    /** Returns where this process listens; valid once started. */
    public Endpoint endpoint() {
        return Addresses.toEndpoint((InetSocketAddress) mUdp.localAddress());
    }

    @Override
    public CompletableFuture<Void> start(Kernel kernel) {
        mGroup = new MultiThreadIoEventLoopGroup(THREADS, NioIoHandler.newFactory());
        PeerMessageValidator guard =
                new PeerMessageValidator(mSettings.fleet(), mSettings.self(), mMembers);
        mServer = new PeerRequestServer(guard, mRequestHandler, mCounters);
        mConnections = new PeerConnectionPool(mGroup, mFilter, mCounters);
        return bind(guard, BIND_TRIES)
                .handle((ignored, failure) -> failure)
                .thenCompose(failure -> failure == null ? done() : shutDownAfter(failure));
    }

    @Override
    public CompletableFuture<Void> stop() {
        ChannelFuture unusedTcp = mTcp.close();
        ChannelFuture unusedUdp = mUdp.close();
        return mServer.drain()
                .thenCompose(
                        ignored -> {
                            mConnections.close();
                            return shutDown();
                        });
    }

    /**
     * Sends a datagram; loss shows no sign. The transport fills in version, fleet and sender. One
     * of more than {@link #MAX_DATAGRAM_BYTES} is dropped and counted.
     */
    public void sendDatagram(Endpoint to, Gossip gossip) {
        byte[] bytes =
                gossip.toBuilder()
                        .setVersion(VERSION)
                        .setFleet(mSettings.fleet())
                        .setSender(mSelf)
                        .build()
                        .toByteArray();
        if (bytes.length > MAX_DATAGRAM_BYTES) {
            mCounters.countOversized();
            LOG.warn("A datagram of " + bytes.length + " bytes was dropped. Carry less news.");
            return;
        }
        if (!mFilter.allows(to, Direction.OUT)) {
            return;
        }
        InetSocketAddress address = Addresses.toSocketAddress(to);
        mCounters.count(TrafficKind.of(gossip), Direction.OUT, bytes.length);
        ChannelFuture unused =
                mUdp.writeAndFlush(
                        new DatagramPacket(Unpooled.wrappedBuffer(bytes), address),
                        mUdp.voidPromise());
    }

    /**
     * Sends a request over the one connection to that peer, which is opened if need be. The
     * transport fills in version, fleet, sender and request id.
     *
     * @return the reply of status OK; fails with a {@link RefusedException} that tells another
     *     status, or with a {@link OperationException} if there is no reply in time
     */
    public CompletableFuture<PeerReply> request(
            Endpoint to, PeerRequest request, Duration timeout) {
        PeerRequest stamped =
                request.toBuilder()
                        .setVersion(VERSION)
                        .setFleet(mSettings.fleet())
                        .setSender(mSelf)
                        .setRequestId(mRequestId.incrementAndGet())
                        .build();
        return mConnections.request(to, stamped, timeout);
    }

    private CompletableFuture<Void> bind(PeerMessageValidator guard, int triesLeft) {
        CompletableFuture<Void> bound = new CompletableFuture<>();
        ChannelFuture unused =
                bindTcp()
                        .addListener(
                                (ChannelFuture tcp) -> {
                                    if (tcp.isSuccess()) {
                                        bindUdp(guard, tcp.channel(), triesLeft, bound);
                                    } else {
                                        fail(bound, "bind TCP", tcp.cause());
                                    }
                                });
        return bound;
    }

    /**
     * Guards against a free TCP port whose UDP twin is taken, which would show as a VM that fails
     * to start now and then: with port 0, another port is tried.
     */
    private void bindUdp(
            PeerMessageValidator guard, Channel tcp, int triesLeft, CompletableFuture<Void> bound) {
        DatagramReceiver receiver = new DatagramReceiver(guard, mGossipHandler, mFilter, mCounters);
        int port = ((InetSocketAddress) tcp.localAddress()).getPort();
        ChannelFuture unused =
                new Bootstrap()
                        .group(mGroup)
                        .channel(NioDatagramChannel.class)
                        .handler(receiver)
                        .bind(Addresses.toSocketAddress(new Endpoint(mSettings.host(), port)))
                        .addListener(
                                (ChannelFuture udp) -> {
                                    if (udp.isSuccess()) {
                                        mTcp = tcp;
                                        mUdp = udp.channel();
                                        bound.complete(null);
                                        return;
                                    }
                                    ChannelFuture unusedTcp = tcp.close();
                                    if (mSettings.port() == 0 && triesLeft > 1) {
                                        forward(bind(guard, triesLeft - 1), bound);
                                    } else {
                                        fail(bound, "bind UDP", udp.cause());
                                    }
                                });
    }

    private ChannelFuture bindTcp() {
        return new ServerBootstrap()
                .group(mGroup)
                .channel(NioServerSocketChannel.class)
                .childHandler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                MessageFraming.addTo(
                                        channel.pipeline(), PeerRequest.getDefaultInstance());
                                channel.pipeline().addLast(mServer);
                            }
                        })
                .bind(Addresses.toSocketAddress(new Endpoint(mSettings.host(), mSettings.port())));
    }

    private void fail(CompletableFuture<Void> bound, String step, Throwable cause) {
        String where = mSettings.host() + ":" + mSettings.port();
        bound.completeExceptionally(
                new OperationException(
                        step, where, "The port can't be taken. Choose another.", cause));
    }

    private static void forward(CompletableFuture<Void> from, CompletableFuture<Void> to) {
        CompletableFuture<Void> unused =
                from.whenComplete(
                        (ignored, failure) -> {
                            if (failure == null) {
                                to.complete(null);
                            } else {
                                to.completeExceptionally(failure);
                            }
                        });
    }

    private static CompletableFuture<Void> done() {
        return CompletableFuture.completedFuture(null);
    }

    private CompletableFuture<Void> shutDownAfter(Throwable failure) {
        return shutDown().thenCompose(ignored -> CompletableFuture.failedFuture(failure));
    }

    private CompletableFuture<Void> shutDown() {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        Future<?> unused =
                mGroup.shutdownGracefully(0, STOP_SECONDS, TimeUnit.SECONDS)
                        .addListener(done -> stopped.complete(null));
        return stopped;
    }
}
