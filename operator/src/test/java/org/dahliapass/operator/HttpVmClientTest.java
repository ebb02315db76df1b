package org.dahliapass.operator;

import static org.testng.Assert.assertEquals;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.server.Server;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.dahliapass.model.Endpoint;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Tests {@link HttpVmClient} against an HTTP server on loopback. */
public final class HttpVmClientTest {
    private Server mServer;
    private volatile HttpStatus mStatus;
    private volatile String mBody;
    private volatile String mPath;

    @BeforeClass
    public void startServer() {
        mServer =
                Server.builder()
                        .service(
                                "prefix:/operations",
                                (context, request) -> {
                                    mPath = request.path();
                                    return HttpResponse.of(mStatus, MediaType.JSON_UTF_8, mBody);
                                })
                        .build();
        mServer.start().join();
    }

    @AfterClass
    public void stopServer() {
        mServer.stop().join();
    }

    private Endpoint vm() {
        return new Endpoint("127.0.0.1", mServer.activeLocalPort());
    }

    private HttpVmClient clientFor(HttpStatus status, String body) {
        mStatus = status;
        mBody = body;
        return new HttpVmClient(Duration.ofSeconds(10));
    }

    private static <T> T get(CompletableFuture<T> future) throws Exception {
        return future.get(30, TimeUnit.SECONDS);
    }

    @Test
    public void membersAreParsed() throws Exception {
        String body =
                "[{\"name\":\"vm-1\",\"incarnation\":\"z\",\"operators\":\"10.0.0.1:82\","
                        + "\"state\":\"alive\"}]";
        assertEquals(
                get(clientFor(HttpStatus.OK, body).members(vm())),
                List.of(new Member("vm-1", new Endpoint("10.0.0.1", 82), "alive")));
    }

    @Test
    public void templateStatusIsParsed() throws Exception {
        String held = "{\"customer\":\"himal\",\"number\":4,\"digest\":\"ab\"}";
        assertEquals(
                get(clientFor(HttpStatus.OK, held).template(vm(), "himal")),
                new TemplateStatus(true, 4, 0));
        assertEquals(mPath, "/operations/templates/himal");
        assertEquals(
                get(clientFor(HttpStatus.NOT_FOUND, "{\"headNumber\":9}").template(vm(), "x")),
                new TemplateStatus(false, 0, 9));
        assertEquals(
                get(clientFor(HttpStatus.NOT_FOUND, "none").template(vm(), "x")),
                new TemplateStatus(false, 0, 0));
    }

    @Test
    public void explanationsAreParsedAndQueryIsSent() throws Exception {
        String body =
                "[{\"atMillis\":5,\"vm\":\"vm-1\",\"action\":\"EJECTED\",\"subject\":\"s\","
                        + "\"cause\":\"c\",\"evidence\":\"e\",\"setting\":\"t\",\"new\":1}]";
        ExplanationQuery query =
                new ExplanationQuery(
                        Optional.of("10.1.1.1:80"),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.of(7L));
        assertEquals(
                get(clientFor(HttpStatus.OK, body).explanations(vm(), query)),
                List.of(new Explanation(5, "vm-1", "EJECTED", "s", "c", "e", "t")));
        assertEquals(mPath, "/operations/explanations?target=10.1.1.1%3A80&since=7");
    }
}
