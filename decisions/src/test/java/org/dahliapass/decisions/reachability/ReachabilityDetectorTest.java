package org.dahliapass.decisions.reachability;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.stream.IntStream;
import org.dahliapass.model.Endpoint;
import org.testng.annotations.Test;

/** Tests of {@link ReachabilityDetector}. */
public final class ReachabilityDetectorTest {
    private static final List<Endpoint> TARGETS =
            IntStream.range(0, 5).mapToObj(n -> new Endpoint("10.0.0." + n, 80)).toList();

    @Test
    public void failedConnectionsToSeveralTargetsArePartition() {
        ReachabilityDetector detector = new ReachabilityDetector();
        detector.onNotConnected(TARGETS.get(0), 1_000);
        assertEquals(detector.state(), Reachability.SUSPECTED);
        assertEquals(detector.missingFailures(), 2);
        detector.onNotConnected(TARGETS.get(0), 1_010);
        detector.onNotConnected(TARGETS.get(1), 1_010);
        assertEquals(detector.state(), Reachability.SUSPECTED);
        detector.onNotConnected(TARGETS.get(2), 1_020);
        assertEquals(detector.state(), Reachability.PARTITIONED);
    }

    /** Guards against a crashed target that makes a VM believe that it reaches none. */
    @Test
    public void openedConnectionEndsSuspicionAndPartition() {
        ReachabilityDetector detector = new ReachabilityDetector();
        detector.onNotConnected(TARGETS.get(0), 1_000);
        detector.onConnected(1_001);
        assertEquals(detector.state(), Reachability.REACHED);
        TARGETS.forEach(target -> detector.onNotConnected(target, 2_000));
        assertEquals(detector.state(), Reachability.PARTITIONED);
        detector.onConnected(2_500);
        assertEquals(detector.state(), Reachability.REACHED);
        assertEquals(detector.missingFailures(), 3);
    }

    /** Guards against connection timeouts that are noticed after a connection was opened. */
    @Test
    public void failureThatBeganBeforeAConnectionWasOpenedProvesNothing() {
        ReachabilityDetector detector = new ReachabilityDetector();
        detector.onConnected(1_200);
        TARGETS.forEach(target -> detector.onNotConnected(target, 1_100));
        assertEquals(detector.state(), Reachability.REACHED);
    }

    /** Guards against open connections that hang without any sign. */
    @Test
    public void silenceOfSeveralTargetsIsSuspicious() {
        ReachabilityDetector detector = new ReachabilityDetector();
        detector.onSent("first", TARGETS.get(0), 1_000);
        detector.onSent("second", TARGETS.get(0), 1_000);
        detector.onTick(1_400);
        assertEquals(detector.state(), Reachability.REACHED);
        detector.onSent("third", TARGETS.get(1), 1_100);
        detector.onTick(1_350);
        assertEquals(detector.state(), Reachability.REACHED);
        detector.onTick(1_400);
        assertEquals(detector.state(), Reachability.SUSPECTED);
        assertEquals(detector.missingFailures(), 3);
    }

    @Test
    public void silenceIsNormalWhileOthersRespondOrResponsesTakeLong() {
        ReachabilityDetector detector = new ReachabilityDetector();
        detector.onSent("slow", TARGETS.get(0), 1_000);
        detector.onSent("slower", TARGETS.get(1), 1_000);
        detector.onSent("answered", TARGETS.get(2), 1_000);
        detector.onResponse("answered", 1_300);
        detector.onTick(1_500);
        assertEquals(detector.state(), Reachability.REACHED);
        for (int number = 0; number < 100; number++) {
            detector.onSent("usual", TARGETS.get(2), 2_000);
            detector.onResponse("usual", 3_000);
        }
        detector.onTick(4_500);
        assertEquals(detector.state(), Reachability.REACHED);
        detector.onTick(5_000);
        assertEquals(detector.state(), Reachability.SUSPECTED);
    }

    @Test
    public void endedAttemptIsNotSilent() {
        ReachabilityDetector detector = new ReachabilityDetector();
        detector.onSent("first", TARGETS.get(0), 1_000);
        detector.onSent("second", TARGETS.get(1), 1_000);
        detector.onEnded("second");
        detector.onTick(2_000);
        assertEquals(detector.state(), Reachability.REACHED);
    }

    @Test
    public void brokenConnectionsOfSeveralTargetsAreSuspicious() {
        ReachabilityDetector detector = new ReachabilityDetector();
        detector.onBroken(TARGETS.get(0));
        detector.onResponse("other", 1_000);
        detector.onBroken(TARGETS.get(1));
        assertEquals(detector.state(), Reachability.REACHED);
        detector.onBroken(TARGETS.get(2));
        assertEquals(detector.state(), Reachability.SUSPECTED);
        detector.onNothingToCheck();
        assertEquals(detector.state(), Reachability.REACHED);
    }
}
