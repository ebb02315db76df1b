package org.dahliapass.kernel;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link Kernel}. */
public final class KernelTest {
    private final List<String> mEvents = new ArrayList<>();
    private Kernel mKernel;

    @BeforeMethod
    public void setUp() {
        mEvents.clear();
        mKernel = new Kernel();
    }

    @Test
    public void startGoesInTheOrderOfRegistration() {
        mKernel.register("first", sound("first")).register("second", sound("second"));

        mKernel.start().join();

        assertEquals(mEvents, List.of("start first", "start second"));
    }

    @Test
    public void stopGoesInTheReverseOrderAndOnce() {
        mKernel.register("first", sound("first")).register("second", sound("second"));
        mKernel.start().join();
        mEvents.clear();

        mKernel.stop().join();
        mKernel.stop().join();

        assertEquals(mEvents, List.of("stop second", "stop first"));
    }

    // A VM is started while its port is taken. The control state already runs, then the server
    // can't bind. Without a way back the process would linger half started: what was started must
    // stop again, what comes later must not start, and the reason must reach the operator.
    @Test
    public void startThatFailsStopsWhatWasStartedAndTellsWhy() {
        OperationException reason = new OperationException("bind", "self", "The port is taken.");
        CompletableFuture<Void> broken = CompletableFuture.failedFuture(reason);
        mKernel.register("first", sound("first"))
                .register("broken", new Scripted("broken", () -> broken, Acts::done))
                .register("third", sound("third"));

        ExecutionException failure =
                expectThrows(ExecutionException.class, () -> mKernel.start().get());

        assertSame(failure.getCause(), reason);
        assertEquals(mEvents, List.of("start first", "start broken", "stop first"));
    }

    // An operator stops a VM. One service throws instead of returning a failed future. The services
    // below it must be stopped all the same, or requests in flight there are cut off by the exit.
    @Test
    public void stopGoesOnAfterAServiceThatThrows() {
        mKernel.register("first", sound("first"))
                .register("broken", new Scripted("broken", Acts::done, Acts::fail))
                .register("third", sound("third"));
        mKernel.start().join();
        mEvents.clear();

        mKernel.stop().join();

        assertEquals(mEvents, List.of("stop third", "stop broken", "stop first"));
    }

    @Test
    public void findGivesTheServiceOfThatName() {
        KernelService service = sound("first");
        mKernel.register("first", service);

        assertSame(mKernel.find("first", Scripted.class), service);
    }

    @Test
    public void findRefusesAnUnknownNameAndAnotherType() {
        mKernel.register("first", sound("first"));

        expectThrows(IllegalStateException.class, () -> mKernel.find("two", Scripted.class));
        IllegalStateException failure =
                expectThrows(
                        IllegalStateException.class,
                        () -> mKernel.find("first", ControlLoop.class));
        assertTrue(failure.getMessage().contains("ControlLoop"), failure.getMessage());
    }

    @Test
    public void registerRefusesASecondServiceOfAName() {
        mKernel.register("first", sound("first"));

        expectThrows(IllegalStateException.class, () -> mKernel.register("first", sound("first")));
    }

    private KernelService sound(String name) {
        return new Scripted(name, Acts::done, Acts::done);
    }

    /** What a scripted service does when it is started or stopped. */
    private interface Act {
        CompletableFuture<Void> run();
    }

    private static final class Acts {
        static CompletableFuture<Void> done() {
            return CompletableFuture.completedFuture(null);
        }

        static CompletableFuture<Void> fail() {
            throw new IllegalStateException("broken");
        }
    }

    private final class Scripted implements KernelService {
        private final String mName;
        private final Act mStart;
        private final Act mStop;

        Scripted(String name, Act start, Act stop) {
            mName = name;
            mStart = start;
            mStop = stop;
        }

        @Override
        public CompletableFuture<Void> start(Kernel kernel) {
            mEvents.add("start " + mName);
            return mStart.run();
        }

        @Override
        public CompletableFuture<Void> stop() {
            mEvents.add("stop " + mName);
            return mStop.run();
        }
    }
}
