package org.dahliapass.http;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.HashMap;
import java.util.Map;

/** Routes requests to handlers by path; responds with 404 to unknown paths. */
public final class PathRouter implements RequestHandler {
    private final Map<String, RequestHandler> mHandlers = new HashMap<>();

    /** Adds the handler of a path; must be called before the server starts. */
    public PathRouter add(String path, RequestHandler handler) {
        mHandlers.put(path, handler);
        return this;
    }

    @Override
    public void onRequest(ServerCall call) {
        RequestHandler handler = mHandlers.get(RequestTarget.of(call.head()).pathWithoutQuery());
        if (handler == null) {
            call.respond(ServerResponse.of(HttpResponseStatus.NOT_FOUND));
            return;
        }
        handler.onRequest(call);
    }
}
