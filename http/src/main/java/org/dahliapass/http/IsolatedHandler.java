package org.dahliapass.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.List;
import org.dahliapass.kernel.ComponentLog;

/** Passes the events of calls to their handler, whose failure ends only the call that it is for. */
final class IsolatedHandler {
    private static final ComponentLog LOG = ComponentLog.of("http");

    private final RequestHandler mHandler;

    IsolatedHandler(RequestHandler handler) {
        mHandler = handler;
    }

    /** Passes on a call. If that fails, the request has not been executed: 503. */
    void onRequest(ServerCall call) {
        run(call, HttpResponseStatus.SERVICE_UNAVAILABLE, () -> mHandler.onRequest(call));
    }

    /** Passes on a part of a request's body. If that fails, it may have been executed: 502. */
    void onContent(ServerCall call, ByteBuf content) {
        run(call, HttpResponseStatus.BAD_GATEWAY, () -> call.onContent(content));
    }

    /** Passes on the end of a request's body. If that fails, it may have been executed: 502. */
    void onBodyEnd(ServerCall call) {
        run(call, HttpResponseStatus.BAD_GATEWAY, call::onBodyEnd);
    }

    /** Tells the handler if more of a response can be written. If that fails, the call ends. */
    void onWritable(ServerCall call) {
        run(call, HttpResponseStatus.BAD_GATEWAY, call::notifyIfWritable);
    }

    /** Tells the handler to what extent a response was written. */
    void onDelivered(ServerCall call, ServerCall.Delivery delivery) {
        runEnded(() -> call.notifyDelivered(delivery));
    }

    /**
     * Cancels calls that will not be answered.
     *
     * <p>All are marked before the first handler is told: what that gives up may be used at once by
     * another of the calls. Every listener is told, although one before it fails.
     */
    void cancel(List<ServerCall> calls) {
        calls.forEach(ServerCall::markDisconnected);
        for (ServerCall call : calls) {
            onDelivered(call, call.response().delivery(false));
            call.disconnectListeners().forEach(IsolatedHandler::runEnded);
        }
    }

    /** Runs a step of a call that has ended, so that its failure has no effect on the response. */
    private static void runEnded(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            LOG.error("Ending a request after its response or a disconnect failed.", e);
        }
    }

    private static void run(ServerCall call, HttpResponseStatus failure, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            LOG.error("Handling a request failed.", e);
            call.onHandlerFailure(failure);
        }
    }
}
