package org.dahliapass.lab.policy;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;

/**
 * One row of the results: the sum of several runs that differ only in their seed.
 *
 * @param deployment the deployment's name
 * @param loadPercent the load, in percent of the capacity
 * @param fault the fault's title
 * @param contender the title of the policy variant
 * @param detectionMedianMillis the median detection time; -1 if fewer than half were detected
 * @param detectionHighMillis the 99th percentile of the detection time; -1 if fewer than 99% were
 *     detected
 * @param missedPercent the pairs of a VM and a faulty target that were never detected, in percent
 * @param healthyEjectedSeconds healthy target-seconds ejected, as the mean over VMs and the sum
 *     over runs
 * @param lowestHealthy the lowest number of healthy targets that any VM used
 * @param floor the floor, as a number of targets
 * @param crossed whether fewer healthy targets than the floor were used although enough were
 *     available
 * @param failedPercent requests that failed, in percent
 * @param latePercent requests whose response was late, in percent
 * @param refusedPercent requests that were refused, in percent
 * @param probesPercent probes per hundred requests
 */
record ResultRow(
        String deployment,
        int loadPercent,
        String fault,
        String contender,
        double detectionMedianMillis,
        double detectionHighMillis,
        double missedPercent,
        double healthyEjectedSeconds,
        int lowestHealthy,
        int floor,
        boolean crossed,
        double failedPercent,
        double latePercent,
        double refusedPercent,
        double probesPercent) {
    static final String HEADER =
            String.format(
                    Locale.ROOT,
                    "%-9s %4s %-42s %-6s %8s %8s %7s %9s %7s %7s %7s %7s %7s",
                    "user",
                    "load",
                    "fault",
                    "who",
                    "p50 ms",
                    "p99 ms",
                    "missed",
                    "wrong s",
                    "lowest",
                    "failed",
                    "late",
                    "refused",
                    "probes");

    /** Aggregates the runs of one deployment, fault, variant and load. */
    static ResultRow of(
            Deployment deployment,
            Fault fault,
            PolicyVariant contender,
            double load,
            List<Measurement> runs) {
        List<Long> detectionTimes = new ArrayList<>();
        runs.forEach(run -> detectionTimes.addAll(run.detectionMillis()));
        Collections.sort(detectionTimes);
        int pairs = runs.stream().mapToInt(Measurement::faultyPairs).sum();
        double requests = runs.stream().mapToInt(Measurement::requests).sum();
        int minHealthyTargets =
                runs.stream().mapToInt(Measurement::minHealthyTargets).min().orElse(0);
        int floor = deployment.floorTargets();
        return new ResultRow(
                deployment.name(),
                (int) Math.round(load * 100),
                fault.title(),
                contender.title(),
                percentile(detectionTimes, pairs, 0.5),
                percentile(detectionTimes, pairs, 0.99),
                pairs == 0 ? 0 : 100.0 * (pairs - detectionTimes.size()) / pairs,
                runs.stream().mapToDouble(Measurement::healthyEjectedSeconds).sum(),
                minHealthyTargets,
                floor,
                minHealthyTargets < Math.min(floor, minAvailableTargets(deployment, fault)),
                100 * runs.stream().mapToInt(Measurement::failed).sum() / requests,
                100 * runs.stream().mapToInt(Measurement::late).sum() / requests,
                100 * runs.stream().mapToInt(Measurement::refused).sum() / requests,
                100 * runs.stream().mapToInt(Measurement::probes).sum() / requests);
    }

    private static int minAvailableTargets(Deployment deployment, Fault fault) {
        int minHealthy = deployment.targets();
        for (int vm = 0; vm < deployment.vms(); vm++) {
            int healthy = 0;
            for (int target = 0; target < deployment.targets(); target++) {
                healthy += fault.isFaulty(deployment, vm, target) ? 0 : 1;
            }
            minHealthy = fault.isVmLost(vm) ? minHealthy : Math.min(minHealthy, healthy);
        }
        return minHealthy;
    }

    private static double percentile(List<Long> sorted, int pairs, double share) {
        int index = (int) Math.ceil(share * pairs) - 1;
        return index < 0 || index >= sorted.size() ? -1 : sorted.get(index);
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "%-9s %3d%% %-42s %-6s %8s %8s %6.1f%% %9.1f %3d/%-2d%s %6.2f%% %6.2f%% %6.2f%%"
                        + " %6.1f%%",
                deployment,
                loadPercent,
                fault,
                contender,
                millis(detectionMedianMillis),
                millis(detectionHighMillis),
                missedPercent,
                healthyEjectedSeconds,
                lowestHealthy,
                floor,
                crossed ? "!" : " ",
                failedPercent,
                latePercent,
                refusedPercent,
                probesPercent);
    }

    private static String millis(double value) {
        return value < 0 ? "-" : String.format(Locale.ROOT, "%.0f", value);
    }
}
