package org.dahliapass.lab.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.dahliapass.model.DetectionPolicy;
import org.dahliapass.model.Endpoint;
import org.dahliapass.model.ServiceTemplate;
import org.dahliapass.model.Target;

/**
 * A service in the size of one of the users, with the work that it does.
 *
 * <p>Targets, slots and zones are the users' figures. How long work takes is an assumption, as is
 * the share of work that fails on a healthy target.
 *
 * @param name what the table calls it
 * @param targets the number of targets, spread over the zones
 * @param slots requests that a target works on at once
 * @param vms the cell's size
 * @param medianMillis the median time in a slot
 * @param guardedShare the share of requests that must run at most once
 * @param deadlineMillis after this time the caller gives up
 * @param lateMillis an answer after this time counts as late
 * @param floorShare the share of targets that must stay in service
 * @param detection the template's setting
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

    /** The standard deviation of the logarithm of the time in a slot. */
    static final double DEVIATION = 0.5;

    /** The share of work that fails on a healthy target. */
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
        DetectionPolicy changed =
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
                changed);
    }

    /** Returns the requests a second that fill all slots. */
    double capacityPerSecond() {
        double meanMillis = medianMillis * Math.exp(DEVIATION * DEVIATION / 2);
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
        List<Target> list = new ArrayList<>();
        for (int target = 0; target < targets; target++) {
            list.add(new Target(endpoint(target), zone(target)));
        }
        return new ServiceTemplate(
                name,
                name,
                list,
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
