package org.dahliapass.entry;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.SessionProtocol;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.net.InetSocketAddress;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.dahliapass.kernel.Kernel;
import org.dahliapass.kernel.KernelService;
import org.dahliapass.model.Endpoint;
import org.dahliapass.traffic.EntryMetrics;

/** The HTTP server for operators: health, metrics, status, explanations and drain. */
public final class OperatorServer implements KernelService {
    /** The name under which the server is registered with the kernel. */
    public static final String NAME = "operator-server";

    private final VmSettings mSettings;
    private final Function<Kernel, OperatorResponses> mResponsesFactory;
    private final Readiness mReadiness;
    private final Runnable mDrain;
    private OperatorResponses mResponses;
    private EntryMetrics mMetrics;
    private Server mServer;

    OperatorServer(
            VmSettings settings,
            Function<Kernel, OperatorResponses> responsesFactory,
            Readiness readiness,
            Runnable drain) {
        mSettings = settings;
        mResponsesFactory = responsesFactory;
        mReadiness = readiness;
        mDrain = drain;
    }

    private Server newServer() {
        return Server.builder()
                .port(
                        new InetSocketAddress(mSettings.address(), mSettings.operatorsPort()),
                        SessionProtocol.HTTP)
                .service("/health", (context, request) -> health())
                .service("/metrics", (context, request) -> metrics())
                .service("/operations/status", (context, request) -> json(mResponses.status()))
                .service(
                        "/operations/members",
                        (context, request) -> json(completed(mResponses.members())))
                .service(
                        "/operations/templates/{customer}", (context, request) -> template(context))
                .service("/operations/targets", (context, request) -> json(mResponses.targets()))
                .service(
                        "/operations/explanations",
                        (context, request) -> json(completed(explanations(context))))
                .service(
                        "/operations/burn",
                        (context, request) ->
                                json(
                                        completed(
                                                mResponses.errorBudget(
                                                        context.queryParam("customer")))))
                .service("/operations/drain", (context, request) -> drain(request.method()))
                .build();
    }

    /** Returns the operator server's address; valid once started. */
    public Endpoint endpoint() {
        InetSocketAddress address = mServer.activePort().localAddress();
        return new Endpoint(address.getAddress().getHostAddress(), address.getPort());
    }

    private HttpResponse health() {
        HttpStatus status =
                mReadiness.state().serves() ? HttpStatus.OK : HttpStatus.SERVICE_UNAVAILABLE;
        return HttpResponse.of(
                status,
                MediaType.PLAIN_TEXT_UTF_8,
                mReadiness.state().name().toLowerCase(Locale.ROOT) + "\n");
    }

    private HttpResponse metrics() {
        MediaType type = MediaType.parse("text/plain; version=0.0.4; charset=utf-8");
        return HttpResponse.of(HttpStatus.OK, type, HttpData.wrap(mMetrics.scrape()));
    }

    private HttpResponse template(ServiceRequestContext context) {
        return mResponses
                .template(context.pathParam("customer"))
                .map(text -> json(completed(text)))
                .orElseGet(
                        () ->
                                HttpResponse.of(
                                        HttpStatus.NOT_FOUND,
                                        MediaType.JSON,
                                        mResponses.headNumber() + "\n"));
    }

    private String explanations(ServiceRequestContext context) {
        return mResponses.explanations(
                new ExplanationQuery(
                        context.queryParam("target"),
                        context.queryParam("request"),
                        context.queryParam("customer"),
                        context.queryParam("since")));
    }

    private HttpResponse drain(HttpMethod method) {
        if (method != HttpMethod.POST) {
            return HttpResponse.of(
                    HttpStatus.METHOD_NOT_ALLOWED, MediaType.PLAIN_TEXT_UTF_8, "Use POST.\n");
        }
        mDrain.run();
        return HttpResponse.of(HttpStatus.ACCEPTED, MediaType.PLAIN_TEXT_UTF_8, "draining\n");
    }

    private static CompletableFuture<String> completed(String text) {
        return CompletableFuture.completedFuture(text);
    }

    private static HttpResponse json(CompletableFuture<String> text) {
        return HttpResponse.of(
                text.thenApply(
                        body -> HttpResponse.of(HttpStatus.OK, MediaType.JSON, body + "\n")));
    }

    @Override
    public CompletableFuture<Void> start(Kernel kernel) {
        mResponses = mResponsesFactory.apply(kernel);
        mMetrics = kernel.find(EntryMetrics.NAME, EntryMetrics.class);
        mServer = newServer();
        return mServer.start();
    }

    @Override
    public CompletableFuture<Void> stop() {
        return mServer.stop();
    }
}
