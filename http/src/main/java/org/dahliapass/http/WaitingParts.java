package org.dahliapass.http;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongConsumer;

/** The decoded parts of requests that were read but are not processed yet, in order. */
final class WaitingParts {
    /** The memory of a part besides its content, in bytes, as an estimate. */
    private static final int PART_OVERHEAD = 256;

    /** The memory of a header besides its text, in bytes, as an estimate. */
    private static final int HEADER_OVERHEAD = 64;

    private final Deque<Part> mParts = new ArrayDeque<>();
    private final LongConsumer mOnChange;
    private long mBytes;

    /**
     * A part that waits.
     *
     * @param message the decoded part
     * @param times what is known of the time before it was read; empty if that is determined when
     *     it is processed
     * @param bytes its size in memory, in bytes, as an estimate
     */
    record Part(HttpObject message, Optional<ServerCall.ReceiveTimes> times, long bytes) {}

    /**
     * Creates an empty queue.
     *
     * @param onChange receives the size of all parts in memory, in bytes, whenever it changes
     */
    WaitingParts(LongConsumer onChange) {
        mOnChange = onChange;
    }

    /** Adds a part and takes ownership of it. */
    void add(HttpObject message, Optional<ServerCall.ReceiveTimes> times) {
        Part part = new Part(message, times, size(message));
        mParts.add(part);
        setBytes(mBytes + part.bytes());
    }

    boolean isEmpty() {
        return mParts.isEmpty();
    }

    int count() {
        return mParts.size();
    }

    /** Returns the size of all parts in memory, in bytes, as an estimate. */
    long bytes() {
        return mBytes;
    }

    /** Returns the first part, which stays here; there must be one. */
    HttpObject first() {
        return mParts.element().message();
    }

    /** Removes the first part and passes on its ownership; there must be one. */
    Part removeFirst() {
        Part part = mParts.remove();
        setBytes(mBytes - part.bytes());
        return part;
    }

    /** Releases all parts. */
    void clear() {
        mParts.forEach(part -> ReferenceCountUtil.release(part.message()));
        mParts.clear();
        setBytes(0);
    }

    private void setBytes(long bytes) {
        if (bytes != mBytes) {
            mBytes = bytes;
            mOnChange.accept(bytes);
        }
    }

    private static long size(HttpObject message) {
        long bytes = PART_OVERHEAD;
        if (message instanceof HttpRequest head) {
            bytes += head.uri().length() + size(head.headers());
        }
        if (message instanceof HttpContent content) {
            bytes += content.content().readableBytes();
        }
        if (message instanceof LastHttpContent end) {
            bytes += size(end.trailingHeaders());
        }
        return bytes;
    }

    private static long size(HttpHeaders headers) {
        long bytes = 0;
        Iterator<Map.Entry<CharSequence, CharSequence>> entries = headers.iteratorCharSequence();
        while (entries.hasNext()) {
            Map.Entry<CharSequence, CharSequence> header = entries.next();
            bytes += HEADER_OVERHEAD + header.getKey().length() + header.getValue().length();
        }
        return bytes;
    }
}
