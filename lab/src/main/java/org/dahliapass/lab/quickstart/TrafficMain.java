package org.dahliapass.lab.quickstart;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.SplitHttpResponse;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.time.Clock;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.dahliapass.kernel.ExitCode;
import org.dahliapass.kernel.MonotonicClock;
import org.dahliapass.kernel.Program;

/** Sends the quick start's requests, checks every answer and prints a table. */
public final class TrafficMain extends Program {
    private static final int OK = 200;
    private static final int RUNNING = 409;
    private static final int THREADS = 8;
    private static final long LIMIT_SECONDS = 300;

    private final Clock mClock = new MonotonicClock();
    private final List<ResultCounter> mTallies = new ArrayList<>();
    private OptionSpec<String> mVm;
    private OptionSpec<Integer> mRequests;
    private OptionSpec<Long> mExtractBytes;
    private OptionSpec<Void> mGray;

    private TrafficMain() {
        super("quickstart-traffic", "Sends requests of both deployments and checks the answers.");
    }

    /** Runs the program. */
    public static void main(String[] arguments) {
        System.exit(new TrafficMain().main(arguments, System.out, System.err).code());
    }

    @Override
    protected void declareOptions(OptionParser parser) {
        mVm = parser.accepts("vm", "A VM's callers' address.").withRequiredArg().required();
        mGray = parser.accepts("gray", "A target is sick: its own errors are no fault of ours.");
        mRequests =
                parser.accepts("requests", "Requests of each kind.")
                        .withRequiredArg()
                        .ofType(Integer.class)
                        .defaultsTo(200);
        mExtractBytes =
                parser.accepts("extract-bytes", "Size of a bulky answer; 0 for none.")
                        .withRequiredArg()
                        .ofType(Long.class)
                        .defaultsTo(64L * 1024 * 1024);
    }

    @Override
    protected ExitCode run(OptionSet options) throws InterruptedException {
        int requests = options.valueOf(mRequests);
        long bytes = options.valueOf(mExtractBytes);
        try (ClientFactory factory = ClientFactory.builder().build()) {
            Caller caller = new Caller(options.valueOf(mVm), factory);
            listings(caller, "himal", "desk", "/listings/", requests);
            guarded(caller, "himal", "desk", "/sign-offs/", requests);
            listings(caller, "vatulele", "rankings", "/rankings/", requests);
            guarded(caller, "vatulele", "rankings", "/certifications/", requests);
            if (bytes > 0) {
                extract(caller, "himal", "vault", "/extracts/ledger", bytes);
                extract(caller, "vatulele", "archive", "/exports/season", bytes);
            }
        }
        System.out.println(ResultCounter.header());
        mTallies.forEach(tally -> System.out.println(tally.row()));
        boolean gray = options.has(mGray);
        boolean allRight =
                mTallies.stream()
                        .allMatch(
                                tally ->
                                        tally.incorrect() == 0
                                                && tally.successes() > 0
                                                && (gray || tally.failures() == 0));
        return allRight ? ExitCode.OK : ExitCode.FAILED;
    }

    private long microsSince(Instant start) {
        return ChronoUnit.MICROS.between(start, mClock.instant());
    }

    private ResultCounter tally(String name) {
        ResultCounter tally = new ResultCounter(name);
        mTallies.add(tally);
        return tally;
    }

    private void listings(Caller caller, String customer, String service, String path, int requests)
            throws InterruptedException {
        ResultCounter tally = tally(customer + path);
        List<Caller.Address> addresses = caller.discover(customer, service);
        inParallel(
                requests,
                number -> {
                    String address = addresses.get(number % addresses.size()).address();
                    String own = path + number;
                    Instant start = mClock.instant();
                    AggregatedHttpResponse answer =
                            caller.get(address, "/services/" + customer + "/" + service + own)
                                    .aggregate()
                                    .join();
                    judge(tally, answer, own, start);
                });
    }

    private void guarded(Caller caller, String customer, String service, String path, int requests)
            throws InterruptedException {
        ResultCounter tally = tally(customer + path);
        List<Caller.Address> addresses = caller.discover(customer, service);
        inParallel(
                requests,
                number -> {
                    Caller.Address address = addresses.get(number % addresses.size());
                    String key = address.token() + ".op-" + number;
                    String full = "/services/" + customer + "/" + service + path + number;
                    Instant start = mClock.instant();
                    AggregatedHttpResponse answer =
                            caller.post(address.address(), full, key, "{}").aggregate().join();
                    judge(tally, answer, path + number, start);
                    String other = addresses.get((number + 1) % addresses.size()).address();
                    judgeRepeat(tally, answer, repeat(caller, other, full, key));
                });
    }

    /** Sends a key again, as often as it is told that the operation is still running. */
    private static AggregatedHttpResponse repeat(
            Caller caller, String address, String path, String key) {
        AggregatedHttpResponse answer;
        do {
            answer = caller.post(address, path, key, "{}").aggregate().join();
        } while (answer.status().code() == RUNNING);
        return answer;
    }

    private void judge(
            ResultCounter tally, AggregatedHttpResponse answer, String path, Instant start) {
        boolean refused = answer.headers().contains("retry-after");
        if (refused) {
            tally.recordRejection();
        } else if (answer.status().isServerError()) {
            tally.recordFailure();
        } else if (answer.status().code() != OK || !answer.contentUtf8().contains(path)) {
            tally.recordIncorrect(answer.status() + " " + answer.contentUtf8());
        } else {
            tally.recordSuccess(microsSince(start));
        }
    }

    private static void judgeRepeat(
            ResultCounter tally, AggregatedHttpResponse first, AggregatedHttpResponse repeated) {
        if (first.status().code() == OK && !first.contentUtf8().equals(repeated.contentUtf8())) {
            tally.recordIncorrect(
                    "repeated key: " + repeated.headers() + " " + repeated.contentUtf8());
        }
    }

    private void extract(Caller caller, String customer, String service, String path, long bytes) {
        ResultCounter tally = tally(customer + path);
        String address = caller.discover(customer, service).get(0).address();
        Instant start = mClock.instant();
        SplitHttpResponse split =
                caller.get(
                                address,
                                "/services/" + customer + "/" + service + path + "?bytes=" + bytes)
                        .split();
        ResponseHeaders headers = split.headers().join();
        long received = length(split);
        if (headers.status().code() != OK || received != bytes) {
            tally.recordIncorrect(headers.status() + ", " + received + " bytes");
            return;
        }
        tally.recordSuccess(microsSince(start));
    }

    private static long length(SplitHttpResponse response) {
        try (InputStream body = response.body().toInputStream()) {
            return body.transferTo(OutputStream.nullOutputStream());
        } catch (IOException failure) {
            return -1;
        }
    }

    private static void inParallel(int requests, IntConsumer work) throws InterruptedException {
        ExecutorService executor = Executors.newFixedThreadPool(THREADS);
        for (int number = 0; number < requests; number++) {
            int own = number;
            executor.execute(() -> work.accept(own));
        }
        executor.shutdown();
        if (!executor.awaitTermination(LIMIT_SECONDS, TimeUnit.SECONDS)) {
            executor.shutdownNow();
        }
    }
}
