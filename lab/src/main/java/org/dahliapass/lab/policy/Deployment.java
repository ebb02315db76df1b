package org.dahliapass.lab.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.dahliapass.model.DetectionPolicy;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.ServiceTemplate;
import org.dahliapass.model.Target;

/**
 * A simulated service and its load.
 *
 * @param name the name in the results
 * @param targets the number of targets, distributed over the zones
 * @param slots the requests that a target runs concurrently
 * @param vms the number of VMs in the cell
 * @param medianMillis the median service time, in milliseconds
 * @param guardedShare the share of requests that must run at most once
 * @param deadlineMillis the time after which callers cancel, in milliseconds
 * @param lateMillis the time after which a response counts as late, in milliseconds
 * @param floorShare the share of targets that must stay in service
 * @param detection the detection settings of the template
 */
record Deployment(
        String name,
        int targets,
        int slots,
        int vms,
        double medianMillis,
        double guardedShare,
        long deadlineMillis,
        long lateMillis,
        double floorShare,
        DetectionPolicy detection) {
    static final int ZONES = 3;

    /** The standard deviation of the logarithm of the service time. */
    static final double SLOT_TIME_SIGMA = 0.5;

    /** The share of requests that fail on a healthy target. */
    static final double BASE_FAILURE_RATE = 0.005;

    static final Deployment HIMAL_DESK =
            new Deployment(
                    "himal", 30, 3, 6, 150, 0.1, 10_000, 1_500, 0.6, policy(0.001, 3, 20, 10));

    static final Deployment VATULELE_RANKINGS =
            new Deployment("vatulele", 25, 6, 6, 30, 0.05, 2_000, 300, 0.5, policy(0.1, 3, 10, 5));

    private static DetectionPolicy policy(
            double tolerance, double slowFactor, int returnSeconds, int slowStartSeconds) {
        return new DetectionPolicy(
                tolerance,
                0.1,
                slowFactor,
                Duration.ofSeconds(returnSeconds),
                Duration.ofSeconds(slowStartSeconds));
    }

    Deployment withTolerance(double tolerance) {
        DetectionPolicy policy =
                new DetectionPolicy(
                        tolerance,
                        detection.failureShare(),
                        detection.slowFactor(),
                        detection.returnAfter(),
                        detection.slowStart());
        return new Deployment(
                name,
                targets,
                slots,
                vms,
                medianMillis,
                guardedShare,
                deadlineMillis,
                lateMillis,
                floorShare,
                policy);
    }

    /** Returns the requests per second that fill all slots. */
    double capacityPerSecond() {
        double meanMillis = medianMillis * Math.exp(SLOT_TIME_SIGMA * SLOT_TIME_SIGMA / 2);
        return targets * slots * 1_000 / meanMillis;
    }

    int floorTargets() {
        return template().floorTargets();
    }

    static Endpoint endpoint(int target) {
        return new Endpoint("10.0.0." + (target + 1), 80);
    }

    static String zone(int index) {
        return "zone" + index % ZONES;
    }

    ServiceTemplate template() {
        List<Target> templateTargets = new ArrayList<>();
        for (int target = 0; target < targets; target++) {
            templateTargets.add(new Target(endpoint(target), zone(target)));
        }
        return new ServiceTemplate(
                name,
                name,
                templateTargets,
                slots,
                350,
                floorShare,
                vms,
                "/health",
                "/load",
                detection,
                List.of());
    }
}
