package org.dahliapass.wire;

import com.google.protobuf.MessageLite;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;

/** The framing of messages in a TCP stream: a four-byte length, then the message. */
final class MessageFraming {
    /**
     * The maximum message size, above that of any member list or template. A larger message closes
     * the connection.
     */
    static final int MAX_MESSAGE_BYTES = 4 * 1024 * 1024;

    private static final int LENGTH_BYTES = 4;

    private MessageFraming() {}

    /** Adds the codec for a stream whose incoming messages have the prototype's type. */
    static void addCodec(ChannelPipeline pipeline, MessageLite prototype) {
        pipeline.addLast(
                new LengthFieldBasedFrameDecoder(
                        MAX_MESSAGE_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
        pipeline.addLast(new ProtobufDecoder(prototype));
        pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
        pipeline.addLast(new ProtobufEncoder());
    }
}
