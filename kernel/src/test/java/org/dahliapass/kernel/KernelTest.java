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
    public void startFollowsTheOrderOfRegistration() {
        mKernel.register("first", workingService("first"))
                .register("second", workingService("second"));

        mKernel.start().join();

        assertEquals(mEvents, List.of("start first", "start second"));
    }

    @Test
    public void stopFollowsTheReverseOrderAndRunsOnce() {
        mKernel.register("first", workingService("first"))
                .register("second", workingService("second"));
        mKernel.start().join();
        mEvents.clear();

        mKernel.stop().join();
        mKernel.stop().join();

        assertEquals(mEvents, List.of("stop second", "stop first"));
    }

    // A VM whose port is in use must not remain partly started; the operator must see the cause.
    @Test
    public void failedStartStopsStartedServicesAndReportsTheCause() {
        OperationException reason = new OperationException("bind", "self", "The port is in use.");
        CompletableFuture<Void> broken = CompletableFuture.failedFuture(reason);
        mKernel.register("first", workingService("first"))
                .register("broken", new ScriptedService("broken", () -> broken, Actions::done))
                .register("third", workingService("third"));

        ExecutionException failure =
                expectThrows(ExecutionException.class, () -> mKernel.start().get());

        assertSame(failure.getCause(), reason);
        assertEquals(mEvents, List.of("start first", "start broken", "stop first"));
    }

    // If the remaining services were not stopped, the exit would abort their requests in flight.
    @Test
    public void stopContinuesAfterAServiceThrows() {
        mKernel.register("first", workingService("first"))
                .register("broken", new ScriptedService("broken", Actions::done, Actions::fail))
                .register("third", workingService("third"));
        mKernel.start().join();
        mEvents.clear();

        mKernel.stop().join();

        assertEquals(mEvents, List.of("stop third", "stop broken", "stop first"));
    }

    @Test
    public void findReturnsTheServiceOfThatName() {
        KernelService service = workingService("first");
        mKernel.register("first", service);

        assertSame(mKernel.find("first", ScriptedService.class), service);
    }

    @Test
    public void findRejectsAnUnknownNameAndAnotherType() {
        mKernel.register("first", workingService("first"));

        expectThrows(IllegalStateException.class, () -> mKernel.find("two", ScriptedService.class));
        IllegalStateException failure =
                expectThrows(
                        IllegalStateException.class,
                        () -> mKernel.find("first", ControlLoop.class));
        assertTrue(failure.getMessage().contains("ControlLoop"), failure.getMessage());
    }

    @Test
    public void registerRejectsADuplicateName() {
        mKernel.register("first", workingService("first"));

        expectThrows(
                IllegalStateException.class,
                () -> mKernel.register("first", workingService("first")));
    }

    private KernelService workingService(String name) {
        return new ScriptedService(name, Actions::done, Actions::done);
    }

    /** The action of a scripted service when it is started or stopped. */
    private interface Action {
        CompletableFuture<Void> run();
    }

    private static final class Actions {
        static CompletableFuture<Void> done() {
            return CompletableFuture.completedFuture(null);
        }

        static CompletableFuture<Void> fail() {
            throw new IllegalStateException("broken");
        }
    }

    private final class ScriptedService implements KernelService {
        private final String mName;
        private final Action mStart;
        private final Action mStop;

        ScriptedService(String name, Action start, Action stop) {
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
