package org.dahliapass.lab.cost;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.dahliapass.kernel.ExitCode;
import org.dahliapass.kernel.Program;
import org.dahliapass.model.Endpoint;
import org.dahliapass.standins.CallerStandIn;

/** Sends reads and locks in turn to a gateway VM, each on a connection of its own. */
public final class GatewayLoadMain extends Program {
    private static final int OK = 200;

    /** Less than the six slots of the two targets, so that no request waits for one. */
    private static final int CALLERS = 4;

    private static final String LOCK_BODY = "x".repeat(900);

    private OptionSpec<String> mVm;
    private OptionSpec<Integer> mRequests;

    private GatewayLoadMain() {
        super("gateway-load", "Sends requests to one gateway VM as fast as it answers.");
    }

    /** Runs the program. */
    public static void main(String[] arguments) {
        System.exit(new GatewayLoadMain().main(arguments, System.out, System.err).code());
    }

    @Override
    protected void declareOptions(OptionParser parser) {
        mVm = parser.accepts("vm", "The VM's address for callers.").withRequiredArg();
        mRequests =
                parser.accepts("requests", "How many requests.")
                        .withRequiredArg()
                        .ofType(Integer.class)
                        .defaultsTo(1);
    }

    @Override
    protected ExitCode run(OptionSet options) throws InterruptedException {
        Endpoint vm = Endpoint.parse(options.valueOf(mVm)).orElseThrow();
        AtomicInteger left = new AtomicInteger(options.valueOf(mRequests));
        AtomicInteger served = new AtomicInteger();
        CountDownLatch done = new CountDownLatch(CALLERS);
        for (int number = 0; number < CALLERS; number++) {
            Thread caller =
                    new Thread(
                            () -> {
                                send(new CallerStandIn(vm, "a.example"), left, served);
                                done.countDown();
                            },
                            "caller-" + number);
            caller.setDaemon(true);
            caller.start();
        }
        done.await();
        System.out.println("served=" + served.get());
        return ExitCode.OK;
    }

    private static void send(CallerStandIn caller, AtomicInteger left, AtomicInteger served) {
        int number = left.decrementAndGet();
        while (number >= 0) {
            String answer =
                    number % 2 == 0
                            ? caller.send("GET /r/", "read-" + number, "")
                            : caller.send("POST /l/", "lock-" + number, LOCK_BODY);
            if (CallerStandIn.status(answer) == OK) {
                served.incrementAndGet();
            }
            number = left.decrementAndGet();
        }
    }
}
