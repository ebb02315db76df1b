package org.dahliapass.lab.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Projects the effect of fleet-wide events that a simulation of a small fleet can't show. */
final class EventProjection {
    private static final double MICROS = 1e6;
    private static final double KILO = 1e3;
    private static final double MEGA = 1e6;
    private static final double GIGA = 1e9;
    private static final int REPLACED = 40;
    private static final double RETRIES_PER_SECOND = 2;
    private static final double LIST_READ_SECONDS = 450;
    private static final double TICKS_PER_SECOND = 10;
    private static final double READS_PER_VM = 20;
    private static final int KINDS = 3;
    private static final int MAX_SERIES = 1_000;

    private final Measurements mMeasurements;
    private final FleetSize mSize;

    /**
     * The projected effect of one event.
     *
     * @param event the event
     * @param cost the projected effect
     * @param verdict whether the effect is within budget, and a possible remedy
     */
    record Row(String event, String cost, String verdict) {}

    EventProjection(Measurements measurements, FleetSize size) {
        mMeasurements = measurements;
        mSize = size;
    }

    List<Row> rows() {
        List<Row> rows = new ArrayList<>();
        rows.add(zoneLost());
        rows.add(replaced());
        rows.add(storeOutage());
        rows.add(listOutage());
        rows.add(coldStart());
        rows.add(changeBurst());
        rows.add(accept());
        rows.add(explain());
        rows.add(report());
        return rows;
    }

    /** Returns the processor time that one VM spends on one member change, in microseconds. */
    private double memberChangeMicros() {
        return at(Quantity.MEMBER_CHANGE, mSize.vms())
                + at(Quantity.CELLS_CHECK, mSize.services())
                + at(Quantity.WATCHER_CHOICE, mSize.vms())
                + mSize.servicesPerVm() * at(Quantity.CELL_PLAN, mSize.vms());
    }

    private Row zoneLost() {
        int lost = mSize.vms() / mSize.zones();
        double share = TICKS_PER_SECOND * memberChangeMicros() / MICROS * 100;
        return new Row(
                "availability zone lost, control thread of each VM",
                text(
                        "%d VMs suspect, then dead; the changes of a tick are applied together, at"
                                + " most %.0f rounds per second of %.1f ms: %.1f%% of a core until"
                                + " convergence",
                        lost, TICKS_PER_SECOND, memberChangeMicros() / KILO, share),
                "over 1.5% of a core until convergence");
    }

    private Row replaced() {
        double list = at(Quantity.LIST_BYTES, mSize.vms());
        double directory = mSize.services() * mMeasurements.perUnit(Quantity.HEAD_BYTES);
        double platform = at(Quantity.VM_LIST_BYTES, mSize.vms());
        double head =
                new Projection(mMeasurements, mSize, Assumptions.DEFAULTS).headResponseBytes();
        double fill = at(Quantity.DIRECTORY_FILL, mSize.services()) / MICROS;
        return new Row(
                REPLACED + " VMs replaced at once, each new VM",
                text(
                        "member list %.0f KB, directory %.0f KB at most, VM list %.0f KB, head"
                                + " %.0f KB; directory loaded in %.2f s of processor time",
                        list / KILO, directory / KILO, platform / KILO, head / KILO, fill),
                "fits; the services are checked once, after the directory is loaded");
    }

    private Row storeOutage() {
        double watchers = (double) mSize.zones() * 2;
        double head =
                new Projection(mMeasurements, mSize, Assumptions.DEFAULTS).headResponseBytes();
        return new Row(
                "store outage of several hours, then recovery",
                text(
                        "%.0f watchers retry twice per second, %.0f calls/s; on recovery %.1f MB of"
                                + " heads; VMs serve with their last configuration",
                        watchers, watchers * RETRIES_PER_SECOND, watchers * head / MEGA),
                "fits; a longer backoff with jitter would suffice");
    }

    private Row listOutage() {
        double list = at(Quantity.VM_LIST_BYTES, mSize.vms());
        double calls = mSize.vms() / LIST_READ_SECONDS;
        return new Row(
                "VM list outage, then recovery",
                text(
                        "%,d VMs read it at the usual rate: %.1f calls/s, %.1f MB/s",
                        mSize.vms(), calls, calls * list / MEGA),
                "fits; VMs that start during the outage wait for it");
    }

    private Row coldStart() {
        double reads = mSize.customers() + 2.0 * mSize.services();
        return new Row(
                "cold start of all VMs, without any state",
                text(
                        "%,.0f reads: %.0f s at %,.0f/s; one VM reads the directory in %.0f s at"
                                + " %.0f reads/s; then up to %,.0f reads/s are allowed",
                        reads,
                        reads / StoreLoad.MAX_READS,
                        StoreLoad.MAX_READS,
                        mSize.services() / READS_PER_VM,
                        READS_PER_VM,
                        mSize.services() * READS_PER_VM),
                "does not fit; StoreReadLimiter must scale with the fleet's size, and the directory"
                        + " should be one value");
    }

    private Row changeBurst() {
        double changes = mSize.changesPerDay() / 3_600;
        double head =
                new Projection(mMeasurements, mSize, Assumptions.DEFAULTS).headResponseBytes();
        return new Row(
                "2,100 changes within an hour, each watcher",
                text("%.1f changes/s, %.0f KB/s of heads", changes, changes * head / KILO),
                "does not fit: bytes; keep about 20 records in the head or read it once a second");
    }

    private Row accept() {
        return new Row(
                "operators' command: accept",
                text(
                        "%.0f store calls, %.0f KB of values, %.1f ms of processor time",
                        at(Quantity.ACCEPT_CALLS, 1),
                        at(Quantity.ACCEPT_BYTES, 256) / KILO,
                        at(Quantity.ACCEPT_TIME, 256) / KILO),
                "fits");
    }

    private Row explain() {
        return new Row(
                "operators' command: explain",
                text("%,d calls, one to each VM, in parallel", mSize.vms()),
                "not measured; query only the service's cell, with bounded concurrency");
    }

    private Row report() {
        double series = Math.min(MAX_SERIES, mSize.customersPerVm() * KINDS);
        double bytes = at(Quantity.BURN_BYTES, series);
        return new Row(
                "error budget report of the whole fleet",
                text(
                        "%,d calls, %.1f MB from a VM after an hour, %.0f GB in all",
                        mSize.vms(), bytes / MEGA, mSize.vms() * bytes / GIGA),
                "does not fit; query one customer, or have VMs send sums per window");
    }

    private double at(Quantity quantity, double size) {
        return mMeasurements.estimate(quantity, size);
    }

    private static String text(String format, Object... values) {
        return String.format(Locale.ROOT, format, values);
    }
}
