package org.dahliapass.lab.capacity;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Tests for {@link Projection}, {@link EvidenceReportPacing} and the budgets. */
public final class ProjectionTest {
    private static final double EXACT = 1e-9;

    /** 100 VMs, 50 services in cells of 4: two services per VM, ten targets per service. */
    private static final FleetSize SMALL =
            new FleetSize(100, 500, 50, 1_000, 5_000, 4, 4, 1_000, 86_400, 28_000, 800);

    @Test
    public void computesMeansPerVmFromFleetSize() {
        assertEquals(SMALL.servicesPerVm(), 2.0, EXACT);
        assertEquals(SMALL.targetsPerService(), 10.0, EXACT);
        assertEquals(SMALL.customersPerVm(), 200.0, EXACT);
        assertEquals(SMALL.requestsPerVm(), 10.0, EXACT);
        assertEquals(SMALL.changesPerSecond(), 1.0, EXACT);
        assertEquals(SMALL.memberUpdatesPerSecond(), 1.0, EXACT);
    }

    @Test
    public void memberChangeChecksAllCellsAndPlansOwnCells() {
        // One update per second. Checking cells: 1 µs per service, 50 µs. Selecting watchers and
        // planning two own cells: 1 µs per member, 100 µs each.
        RoleRow row = row(measurements(0, 1), SMALL, "cells checked");

        assertEquals(row.cost().processor(), 350e-6, EXACT);
        assertEquals(row.cost().bytes(), 0, EXACT);
        assertEquals(row(measurements(0, 0), SMALL, "cells checked").cost().processor(), 0, EXACT);
    }

    @Test
    public void readsFullVmListPeriodically() {
        // The list has an entry per VM and is read in full every 450 s on average.
        RoleRow row = row(measurements(0, 1), SMALL, "platform's VM list");

        assertEquals(row.cost().messages(), 2.0 / 450, EXACT);
        assertEquals(row.cost().bytes(), (100 + 58) / 450.0, EXACT);
    }

    @Test
    public void guardedOperationsCostHomeAndWitnessForRetentionWindow() {
        // 10 requests/s, 5% guarded: 0.5 operations/s, retained for 3,600 s. Each has four messages
        // with 58 bytes of headers each, and 3 + 256 x 1 bytes in all, at home and at witness.
        RoleRow row = row(measurements(3, 1), SMALL, "guarded operations");

        assertEquals(row.cost().messages(), 4.0, EXACT);
        assertEquals(row.cost().bytes(), 2 * 0.5 * (259 + 4 * 58), EXACT);
        assertEquals(row.cost().memory(), 1_800 * 2, EXACT);
    }

    @Test
    public void costGrowsWithFleetOnlyWhereMeasurementGrows() {
        FleetSize larger =
                new FleetSize(200, 1_000, 100, 2_000, 10_000, 4, 4, 2_000, 86_400, 28_000, 800);
        double gossip = row(measurements(3, 0), SMALL, "pings").cost().bytes();

        assertEquals(row(measurements(3, 0), larger, "pings").cost().bytes(), gossip, EXACT);
        assertTrue(
                row(measurements(3, 1), larger, "cells checked").cost().processor()
                        > row(measurements(3, 1), SMALL, "cells checked").cost().processor());
    }

    @Test
    public void budgetNamesExceededResources() {
        Cost within = new Cost(1_000, 8e3, 0.015, 32e6);
        Cost beyond = within.plus(new Cost(0, 1, 0, 1));

        assertEquals(ResourceBudget.PER_VM.verdict(within), "fits");
        assertEquals(ResourceBudget.PER_VM.exceededBy(beyond), List.of("bytes", "memory"));
        assertEquals(
                ResourceBudget.PER_VM.verdict(new Cost(0, 0, 0.02, 0)), "does not fit: processor");
    }

    @Test
    public void pacesEvidenceOnlyAboveItsBudget() {
        // Reports have a constant 100 bytes: 3 receivers x (100 + 200) accounted bytes, two
        // services.
        // 7,200 B/s allow the minimum period of 0.25 s; 900 B/s allow 2 s.
        Measurements flat = measurements(100, 0);
        EvidenceReportPacing unpaced = pace(flat, 7_200);
        EvidenceReportPacing paced = pace(flat, 900);

        assertEquals(unpaced.periodSeconds(), 0.25, EXACT);
        assertEquals(paced.periodSeconds(), 2.0, EXACT);
        // 1/2 report and 1/6 heartbeat per second to each of 6 receivers, with replies, sent and
        // received.
        assertEquals(paced.cost().messages(), 6 * 4 * (1 / 2.0 + 1 / 6.0), EXACT);
        assertEquals(unpaced.cost().messages(), 6 * 4 * 4.0, EXACT);
    }

    private static EvidenceReportPacing pace(Measurements measurements, double bytes) {
        return new EvidenceReportPacing(
                measurements, SMALL, Assumptions.DEFAULTS.withEvidenceBytesPerSecond(bytes));
    }

    @Test
    public void storeVerdictCountsBlockingReads() {
        StoreLoad.Row within = new StoreLoad.Row("", 1_000, 1_000, 300, 0);
        StoreLoad.Row waiting = new StoreLoad.Row("", 1_001, 1_000, 0, 0);
        StoreLoad.Row writing = new StoreLoad.Row("", 0, 0, 301, 0);

        assertEquals(within.verdict(), "fits");
        assertEquals(waiting.verdict(), "does not fit");
        assertEquals(writing.verdict(), "does not fit");
    }

    @Test
    public void failsWithoutMeasurements() {
        Projection empty = new Projection(new Measurements(), SMALL, Assumptions.DEFAULTS);

        assertThrows(IllegalStateException.class, empty::vmRows);
    }

    private static RoleRow row(Measurements measurements, FleetSize size, String part) {
        return new Projection(measurements, size, Assumptions.DEFAULTS)
                .vmRows().stream()
                        .filter(row -> row.part().startsWith(part))
                        .findFirst()
                        .orElseThrow();
    }

    /** Returns measurements with the same line for all quantities. */
    private static Measurements measurements(double base, double slope) {
        List<Measurement> measurements = new ArrayList<>();
        for (Quantity quantity : Quantity.values()) {
            measurements.add(
                    Measurement.of(
                            quantity,
                            List.of(
                                    new Measurement.Point(1, Spread.of(base + slope)),
                                    new Measurement.Point(3, Spread.of(base + 3 * slope)))));
        }
        return new Measurements().add(measurements);
    }
}
