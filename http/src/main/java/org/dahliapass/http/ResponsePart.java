package org.dahliapass.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/** A part of a response, as the handler supplies it. */
sealed interface ResponsePart {
    /**
     * Writes the part and passes on its ownership.
     *
     * @return completes when the part is written; takes listeners only for the last part
     */
    ChannelFuture writeTo(ResponseWriter writer);

    /** Returns whether this is the last part of its response. */
    boolean isLast();

    /** Returns the size of the body bytes, in bytes. */
    long bytes();

    /** Releases a part that is not written. */
    void release();

    /**
     * A complete response.
     *
     * @param response the response
     */
    record Complete(ServerResponse response) implements ResponsePart {
        @Override
        public ChannelFuture writeTo(ResponseWriter writer) {
            return writer.write(response);
        }

        @Override
        public boolean isLast() {
            return true;
        }

        @Override
        public long bytes() {
            return response.body().readableBytes();
        }

        @Override
        public void release() {}
    }

    /**
     * The head of a response whose body follows in parts.
     *
     * @param status the status
     * @param headers the headers, without framing headers
     * @param length the body's length in bytes; negative if unknown
     */
    record Head(HttpResponseStatus status, HttpHeaders headers, long length)
            implements ResponsePart {
        @Override
        public ChannelFuture writeTo(ResponseWriter writer) {
            return writer.writeHead(status, headers, length);
        }

        @Override
        public boolean isLast() {
            return false;
        }

        @Override
        public long bytes() {
            return 0;
        }

        @Override
        public void release() {}
    }

    /**
     * A part of the body.
     *
     * @param content the bytes, which this part owns
     */
    record Chunk(ByteBuf content) implements ResponsePart {
        @Override
        public ChannelFuture writeTo(ResponseWriter writer) {
            return writer.writeChunk(content);
        }

        @Override
        public boolean isLast() {
            return false;
        }

        @Override
        public long bytes() {
            return content.readableBytes();
        }

        @Override
        public void release() {
            content.release();
        }
    }

    /**
     * The end of a response whose body was sent in parts.
     *
     * @param trailers the trailer fields; usually empty
     */
    record End(HttpHeaders trailers) implements ResponsePart {
        @Override
        public ChannelFuture writeTo(ResponseWriter writer) {
            return writer.writeEnd(trailers);
        }

        @Override
        public boolean isLast() {
            return true;
        }

        @Override
        public long bytes() {
            return 0;
        }

        @Override
        public void release() {}
    }
}
