package org.dahliapass.registry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.server.Server;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.dahliapass.kernel.OperationException;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.Vm;
import org.dahliapass.model.VmIdentity;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Tests of {@link HttpVmListClient} against an HTTP server. */
public final class HttpVmListClientTest {
    private static final ListedVm VM =
            new ListedVm(
                    new Vm(
                            new VmIdentity("vm-1", 36),
                            "a",
                            new Endpoint("10.0.0.1", 80),
                            new Endpoint("10.0.0.1", 81)),
                    new Endpoint("10.0.0.1", 82),
                    true);
    private static final String META =
            "{\"peers\":\"10.0.0.1:81\",\"callers\":\"10.0.0.1:80\","
                    + "\"operators\":\"10.0.0.1:82\",\"availability-zone\":\"a\","
                    + "\"incarnation\":\"10\"}";

    private Server mServer;
    private volatile String mResponse = "[]";
    private volatile String mRequest;

    @BeforeClass
    public void startServer() {
        mServer =
                Server.builder()
                        .service(
                                "prefix:/",
                                (context, request) ->
                                        HttpResponse.of(
                                                request.aggregate().thenApply(this::respond)))
                        .build();
        mServer.start().join();
    }

    @AfterClass
    public void stopServer() {
        mServer.stop().join();
    }

    private HttpResponse respond(AggregatedHttpRequest request) {
        mRequest = request.path() + " " + request.contentUtf8();
        return HttpResponse.of(
                ResponseHeaders.of(HttpStatus.OK, "X-Consul-Index", "9"),
                HttpData.ofUtf8(mResponse));
    }

    private HttpVmListClient client() {
        return new HttpVmListClient(
                new Endpoint("127.0.0.1", mServer.activeLocalPort()), Duration.ofSeconds(10));
    }

    private static String listOf(String meta) {
        return "[{\"Node\":{\"Node\":\"n\"},\"Service\":{\"ID\":\"vm-1\",\"Meta\":"
                + meta
                + "},\"Checks\":[{\"Status\":\"passing\"},{\"Status\":\"warning\"}]}]";
    }

    @Test
    public void watchParsesAListWithALeavingVm() throws Exception {
        mResponse = listOf(META);
        VmList list = client().watch(8, Duration.ofSeconds(5)).get(30, TimeUnit.SECONDS);
        assertEquals(list, new VmList(List.of(VM), 9));
    }

    @Test
    public void watchOfEndpointWithoutPortReportsTheExpectedFormat() {
        mResponse = listOf(META.replace("10.0.0.1:81", "10.0.0.1"));
        CompletableFuture<VmList> future = client().watch(8, Duration.ofSeconds(5));
        Throwable failure =
                expectThrows(ExecutionException.class, () -> future.get(30, TimeUnit.SECONDS))
                        .getCause();
        assertTrue(failure instanceof OperationException);
        assertTrue(failure.getMessage().contains("expected host:port"), failure.getMessage());
    }

    @Test
    public void registerSendsTheEntryInTheListFormat() throws Exception {
        client().register(VM).get(30, TimeUnit.SECONDS);
        String request = mRequest;
        assertTrue(request.startsWith("/v1/agent/service/register {\"ID\":\"vm-1\""), request);
        assertTrue(request.contains("\"Meta\":" + META), request);
    }

    @Test
    public void deregisterSendsTheVmName() throws Exception {
        client().deregister("vm-1").get(30, TimeUnit.SECONDS);
        assertEquals(mRequest, "/v1/agent/service/deregister/vm-1 ");
    }
}
