package org.dahliapass.lab.latency;

import com.linecorp.armeria.client.ClientFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.dahliapass.kernel.ExitCode;
import org.dahliapass.kernel.MonotonicClock;
import org.dahliapass.kernel.Program;

/** Compares a target asked directly with the same requests through a VM, at rising rates. */
public final class LatencyMain extends Program {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final int GET_WARM_UP_RATE = 1000;

    /** Low, as a VM keeps every guarded operation and its table is bounded. */
    private static final int POST_WARM_UP_RATE = 200;

    private static final long WARM_UP_BYTES = 256L * 1024 * 1024;
    private static final long UNLIMITED = Long.MAX_VALUE;

    private final Pacer mPacer = new ClockPacer(new MonotonicClock());
    private OptionSpec<String> mVm;
    private OptionSpec<String> mTarget;
    private OptionSpec<String> mCustomer;
    private OptionSpec<String> mService;
    private OptionSpec<String> mPath;
    private OptionSpec<String> mPostPath;
    private OptionSpec<Integer> mRates;
    private OptionSpec<Integer> mPostRates;
    private OptionSpec<Integer> mSeconds;
    private OptionSpec<Integer> mWarmUpSeconds;
    private OptionSpec<Long> mStream;
    private OptionSpec<Long> mSlowRate;
    private OptionSpec<Long> mVmPid;

    private LatencyMain() {
        super("latency", "Measures what a VM adds to a request's latency. Starts nothing itself.");
    }

    /** Runs the program. */
    public static void main(String[] arguments) {
        System.exit(new LatencyMain().main(arguments, System.out, System.err).code());
    }

    @Override
    protected void declareOptions(OptionParser parser) {
        mVm = text(parser, "vm", "A VM's callers' address, HOST:PORT.").required();
        mTarget = text(parser, "target", "The target's address, HOST:PORT.").required();
        mCustomer = text(parser, "customer", "The customer.").required();
        mService = text(parser, "service", "The service.").required();
        mPath = text(parser, "path", "Path of an idempotent GET request.").required();
        mPostPath = text(parser, "post-path", "Path of a guarded POST request; none if left out.");
        mRates = rates(parser, "rates", "Rates of the GET, a second.", 200, 500, 1000, 2000, 4000);
        mPostRates = rates(parser, "post-rates", "Rates of the POST.", 50, 100, 200, 400);
        mSeconds = rates(parser, "seconds", "Seconds of each side at each rate.", 5);
        mWarmUpSeconds = rates(parser, "warm-up-seconds", "Seconds of each side before.", 10);
        mStream = size(parser, "stream", "Stream a body of so many bytes instead; needs vm-pid.");
        mSlowRate = size(parser, "slow-rate", "Bytes a second of the slow reader.");
        mVmPid = size(parser, "vm-pid", "The VM's process, whose memory is sampled.");
    }

    private static joptsimple.ArgumentAcceptingOptionSpec<String> text(
            OptionParser parser, String name, String help) {
        return parser.accepts(name, help).withRequiredArg();
    }

    private static OptionSpec<Integer> rates(
            OptionParser parser, String name, String help, Integer... defaults) {
        return parser.accepts(name, help)
                .withRequiredArg()
                .ofType(Integer.class)
                .withValuesSeparatedBy(',')
                .defaultsTo(defaults);
    }

    private static OptionSpec<Long> size(OptionParser parser, String name, String help) {
        return parser.accepts(name, help).withRequiredArg().ofType(Long.class);
    }

    @Override
    protected ExitCode run(OptionSet options) {
        try (ClientFactory factory =
                ClientFactory.builder()
                        .connectTimeout(CONNECT_TIMEOUT)
                        .useHttp1Pipelining(false)
                        .build()) {
            RequestFactory requests =
                    new RequestFactory(
                            factory,
                            options.valueOf(mVm),
                            options.valueOf(mTarget),
                            options.valueOf(mCustomer),
                            options.valueOf(mService));
            System.out.println("Before: " + SystemLoad.line());
            ExitCode code =
                    options.has(mStream) ? stream(requests, options) : compare(requests, options);
            requests.errors().forEach((what, count) -> System.out.println(count + " x " + what));
            System.out.println("After: " + SystemLoad.line());
            return code;
        }
    }

    private ExitCode stream(RequestFactory requests, OptionSet options) {
        String path = options.valueOf(mPath);
        long bytes = options.valueOf(mStream);
        ResidentMemory memory = new ResidentMemory(options.valueOf(mVmPid));
        try (StreamMeasurement measurement = new StreamMeasurement(requests, memory, mPacer)) {
            System.out.println(StreamResult.header());
            System.out.println(measurement.run("warm-up", path, WARM_UP_BYTES, UNLIMITED).row());
            System.out.println(measurement.run("fast", path, bytes, UNLIMITED).row());
            System.out.println(
                    measurement.run("slow", path, bytes, options.valueOf(mSlowRate)).row());
        }
        return ExitCode.OK;
    }

    private ExitCode compare(RequestFactory requests, OptionSet options) {
        String path = options.valueOf(mPath);
        System.out.println(LatencyComparison.header());
        List<LatencyComparison> rows = new ArrayList<>();
        rows.addAll(
                compare(
                        "GET",
                        GET_WARM_UP_RATE,
                        options,
                        options.valuesOf(mRates),
                        requests.directReads(path),
                        () -> requests.readsViaVm(path)));
        if (options.has(mPostPath)) {
            String postPath = options.valueOf(mPostPath);
            rows.addAll(
                    compare(
                            "POST",
                            POST_WARM_UP_RATE,
                            options,
                            options.valuesOf(mPostRates),
                            requests.directOperations(postPath),
                            () -> requests.operationsViaVm(postPath)));
        }
        boolean right = rows.stream().allMatch(LatencyComparison::isCorrect);
        return right ? ExitCode.OK : ExitCode.FAILED;
    }

    private List<LatencyComparison> compare(
            String request,
            int warmUpRate,
            OptionSet options,
            List<Integer> rates,
            RequestSender direct,
            Supplier<RequestSender> viaVm) {
        alternate(request, warmUpRate, options.valueOf(mWarmUpSeconds), direct, viaVm);
        List<LatencyComparison> rows = new ArrayList<>();
        for (int rate : rates) {
            LatencyComparison row =
                    alternate(request, rate, options.valueOf(mSeconds), direct, viaVm);
            System.out.println(row.row());
            rows.add(row);
        }
        return rows;
    }

    /** Takes turns by the second, so that what else the machine does falls on both sides alike. */
    private LatencyComparison alternate(
            String request,
            int rate,
            int seconds,
            RequestSender direct,
            Supplier<RequestSender> viaVm) {
        OpenLoopGenerator loop = new OpenLoopGenerator(mPacer);
        LatencyComparison row =
                new LatencyComparison(request, rate, new LatencyRecorder(), new LatencyRecorder());
        for (int second = 0; second < seconds; second++) {
            loop.run(direct, rate, rate, row.direct());
            loop.run(viaVm.get(), rate, rate, row.viaVm());
        }
        return row;
    }
}
