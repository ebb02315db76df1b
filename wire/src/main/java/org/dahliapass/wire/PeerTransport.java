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
 * Sends and receives the messages between VMs: datagrams over UDP and requests over TCP, on the
 * same port number.
 *
 * <p>Set the handlers and the membership check before the start. A message from another fleet, for
 * another incarnation or from a VM that isn't a member is rejected and counted in {@link
 * TrafficCounters#refused}. Only a join and a datagram that announces its sender are accepted from
 * a VM that isn't a member yet.
 */
public final class PeerTransport implements KernelService {
    /** The name under which the transport is registered in the kernel. */
    public static final String NAME = "peer-transport";

    /** The version of the messages that this release sends. */
    public static final int VERSION = 1;

    /** The maximum datagram size; networks may drop fragments of larger ones. */
    public static final int MAX_DATAGRAM_BYTES = 1_200;

    private static final ComponentLog LOG = ComponentLog.of("wire");
    private static final int THREADS = 2;
    private static final int MAX_BIND_ATTEMPTS = 16;
    private static final long SHUTDOWN_TIMEOUT_SECONDS = 2;

    private final PeerTransportSettings mSettings;
    private final LinkFilter mFilter;
    private final Identity mSelf;
    private final TrafficCounters mCounters = new TrafficCounters();
    private final AtomicLong mRequestId = new AtomicLong();
    private GossipHandler mGossipHandler = (from, gossip) -> {};
    private RequestHandler mRequestHandler =
            request -> CompletableFuture.failedFuture(new IllegalStateException("No handler set."));
    private Predicate<VmIdentity> mMembershipCheck = identity -> false;
    private EventLoopGroup mGroup;
    private PeerConnectionPool mConnections;
    private PeerRequestServer mServer;
    private Channel mTcpChannel;
    private volatile Channel mUdpChannel;

    /** Creates the transport. */
    public PeerTransport(PeerTransportSettings settings, LinkFilter filter) {
        mSettings = settings;
        mFilter = filter;
        mSelf =
                Identity.newBuilder()
                        .setName(settings.self().name())
                        .setIncarnation(settings.self().incarnation())
                        .build();
    }

    /** Sets the handler of incoming datagrams. */
    public void setGossipHandler(GossipHandler handler) {
        mGossipHandler = handler;
    }

    /** Sets the handler of incoming requests. */
    public void setRequestHandler(RequestHandler handler) {
        mRequestHandler = handler;
    }

    /** Sets the predicate that returns whether a VM is a member; called on traffic threads. */
    public void setMembershipCheck(Predicate<VmIdentity> membershipCheck) {
        mMembershipCheck = membershipCheck;
    }

    /** Returns the counters of sent, received and rejected messages. */
    public TrafficCounters counters() {
        return mCounters;
    }

    /** Returns the endpoint where this process listens; valid once started. */
    public Endpoint endpoint() {
        return Addresses.toEndpoint((InetSocketAddress) mUdpChannel.localAddress());
    }

    @Override
    public CompletableFuture<Void> start(Kernel kernel) {
        mGroup = new MultiThreadIoEventLoopGroup(THREADS, NioIoHandler.newFactory());
        PeerMessageValidator validator =
                new PeerMessageValidator(mSettings.fleet(), mSettings.self(), mMembershipCheck);
        mServer = new PeerRequestServer(validator, mRequestHandler, mCounters);
        mConnections = new PeerConnectionPool(mGroup, mFilter, mCounters);
        return bind(validator, MAX_BIND_ATTEMPTS)
                .handle((ignored, failure) -> failure)
                .thenCompose(failure -> failure == null ? completed() : shutDownAfter(failure));
    }

    @Override
    public CompletableFuture<Void> stop() {
        ChannelFuture unusedTcp = mTcpChannel.close();
        ChannelFuture unusedUdp = mUdpChannel.close();
        return mServer.drain()
                .thenCompose(
                        ignored -> {
                            mConnections.close();
                            return shutDown();
                        });
    }

    /**
     * Sends a datagram without confirmation; the transport sets its version, fleet and sender. A
     * datagram larger than {@link #MAX_DATAGRAM_BYTES} is dropped and counted.
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
            LOG.warn("A datagram of " + bytes.length + " bytes was dropped: it is too large.");
            return;
        }
        if (!mFilter.allows(to, Direction.OUT)) {
            return;
        }
        InetSocketAddress address = Addresses.toSocketAddress(to);
        mCounters.count(TrafficKind.of(gossip), Direction.OUT, bytes.length);
        ChannelFuture unused =
                mUdpChannel.writeAndFlush(
                        new DatagramPacket(Unpooled.wrappedBuffer(bytes), address),
                        mUdpChannel.voidPromise());
    }

    /**
     * Sends a request over the connection to the peer, which is opened if necessary. The transport
     * sets the version, fleet, sender and request id.
     *
     * @return the reply with status OK; fails with a {@link RefusedException} for any other status,
     *     or with an {@link OperationException} if there is no reply within the timeout
     */
    public CompletableFuture<PeerReply> request(
            Endpoint to, PeerRequest request, Duration timeout) {
        PeerRequest complete =
                request.toBuilder()
                        .setVersion(VERSION)
                        .setFleet(mSettings.fleet())
                        .setSender(mSelf)
                        .setRequestId(mRequestId.incrementAndGet())
                        .build();
        return mConnections.request(to, complete, timeout);
    }

    private CompletableFuture<Void> bind(PeerMessageValidator validator, int attemptsLeft) {
        CompletableFuture<Void> bound = new CompletableFuture<>();
        ChannelFuture unused =
                bindTcp()
                        .addListener(
                                (ChannelFuture tcp) -> {
                                    if (tcp.isSuccess()) {
                                        bindUdp(validator, tcp.channel(), attemptsLeft, bound);
                                    } else {
                                        fail(bound, "bind TCP", tcp.cause());
                                    }
                                });
        return bound;
    }

    /**
     * Binds UDP to the port bound for TCP; if it is in use and the configured port is 0, retries
     * with another port.
     */
    private void bindUdp(
            PeerMessageValidator validator,
            Channel tcp,
            int attemptsLeft,
            CompletableFuture<Void> bound) {
        DatagramReceiver receiver =
                new DatagramReceiver(validator, mGossipHandler, mFilter, mCounters);
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
                                        mTcpChannel = tcp;
                                        mUdpChannel = udp.channel();
                                        bound.complete(null);
                                        return;
                                    }
                                    ChannelFuture unusedTcp = tcp.close();
                                    if (mSettings.port() == 0 && attemptsLeft > 1) {
                                        forward(bind(validator, attemptsLeft - 1), bound);
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
                                MessageFraming.addCodec(
                                        channel.pipeline(), PeerRequest.getDefaultInstance());
                                channel.pipeline().addLast(mServer);
                            }
                        })
                .bind(Addresses.toSocketAddress(new Endpoint(mSettings.host(), mSettings.port())));
    }

    private void fail(CompletableFuture<Void> bound, String operation, Throwable cause) {
        String address = mSettings.host() + ":" + mSettings.port();
        bound.completeExceptionally(
                new OperationException(
                        operation, address, "The port can't be bound. Choose another.", cause));
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

    private static CompletableFuture<Void> completed() {
        return CompletableFuture.completedFuture(null);
    }

    private CompletableFuture<Void> shutDownAfter(Throwable failure) {
        return shutDown().thenCompose(ignored -> CompletableFuture.failedFuture(failure));
    }

    private CompletableFuture<Void> shutDown() {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        Future<?> unused =
                mGroup.shutdownGracefully(0, SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                        .addListener(done -> stopped.complete(null));
        return stopped;
    }
}
