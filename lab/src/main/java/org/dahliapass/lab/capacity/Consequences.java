package org.dahliapass.lab.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Works out storms and the operators' command, which no reduced fleet shows, from the lines. */
final class Consequences {
    private static final double MICROS = 1e6;
    private static final double KILO = 1e3;
    private static final double MEGA = 1e6;
    private static final double GIGA = 1e9;
    private static final int REPLACED = 40;
    private static final double WATCH_RETRIES = 2;
    private static final double LIST_READ_SECONDS = 450;
    private static final double TICKS_PER_SECOND = 10;
    private static final double READS_PER_VM = 20;
    private static final int KINDS = 3;
    private static final int MOST_SERIES = 1_000;

    private final Slopes mSlopes;
    private final FleetSize mSize;

    /**
     * One consequence.
     *
     * @param event what happens
     * @param cost what follows, worked out
     * @param verdict whether that is within the budget, and what would change it
     */
    record Row(String event, String cost, String verdict) {}

    Consequences(Slopes slopes, FleetSize size) {
        mSlopes = slopes;
        mSize = size;
    }

    /** Returns all rows. */
    List<Row> rows() {
        List<Row> rows = new ArrayList<>();
        rows.add(zoneLost());
        rows.add(replaced());
        rows.add(storeAway());
        rows.add(listAway());
        rows.add(coldStart());
        rows.add(denseChanges());
        rows.add(accept());
        rows.add(explain());
        rows.add(report());
        return rows;
    }

    /** Returns the processor time of one member change on one VM, in microseconds. */
    private double changeMicros() {
        return at(Quantity.MEMBER_CHANGE, mSize.vms())
                + at(Quantity.CELLS_CHECK, mSize.services())
                + at(Quantity.WATCHER_CHOICE, mSize.vms())
                + mSize.servicesPerVm() * at(Quantity.CELL_PLAN, mSize.vms());
    }

    private Row zoneLost() {
        int lost = mSize.vms() / mSize.zones();
        double share = TICKS_PER_SECOND * changeMicros() / MICROS * 100;
        return new Row(
                "zone lost, control thread of each VM",
                text(
                        "%d VMs suspect, then dead; changes of a tick are taken together, at most"
                                + " %.0f rounds a second of %.1f ms: %.1f%% of a core while it"
                                + " lasts",
                        lost, TICKS_PER_SECOND, changeMicros() / KILO, share),
                "over 1.5% of a core for the seconds that it lasts");
    }

    private Row replaced() {
        double list = at(Quantity.LIST_BYTES, mSize.vms());
        double directory = mSize.services() * mSlopes.perUnit(Quantity.HEAD_BYTES);
        double platform = at(Quantity.VM_LIST_BYTES, mSize.vms());
        double head = new Projection(mSlopes, mSize, Assumptions.PAGE).headAnswer();
        double fill = at(Quantity.DIRECTORY_FILL, mSize.services()) / MICROS;
        return new Row(
                REPLACED + " VMs replaced at once, each new VM",
                text(
                        "member list %.0f KB, directory %.0f KB at most, VM list %.0f KB, head"
                                + " %.0f KB; directory taken in %.2f s of processor time",
                        list / KILO, directory / KILO, platform / KILO, head / KILO, fill),
                "fits; the services are looked at once after the fill");
    }

    private Row storeAway() {
        double watchers = (double) mSize.zones() * 2;
        double head = new Projection(mSlopes, mSize, Assumptions.PAGE).headAnswer();
        return new Row(
                "store away for hours, then back",
                text(
                        "%.0f watchers call twice a second each, %.0f calls/s; back: %.1f MB of"
                                + " heads; VMs serve on by what they have",
                        watchers, watchers * WATCH_RETRIES, watchers * head / MEGA),
                "fits; a longer, jittered pause would do");
    }

    private Row listAway() {
        double list = at(Quantity.VM_LIST_BYTES, mSize.vms());
        double calls = mSize.vms() / LIST_READ_SECONDS;
        return new Row(
                "VM list away, then back",
                text(
                        "%,d VMs read it as rarely as ever: %.1f calls/s, %.1f MB/s",
                        mSize.vms(), calls, calls * list / MEGA),
                "fits; VMs that start meanwhile wait for it");
    }

    private Row coldStart() {
        double reads = mSize.customers() + 2.0 * mSize.services();
        return new Row(
                "all VMs start at once, nobody knows anything",
                text(
                        "%,.0f reads: %.0f s at %,.0f/s; the directory alone takes a VM %.0f s at"
                                + " its %.0f reads/s; then up to %,.0f reads/s are allowed",
                        reads,
                        reads / StoreLoad.MOST_READS,
                        StoreLoad.MOST_READS,
                        mSize.services() / READS_PER_VM,
                        READS_PER_VM,
                        mSize.services() * READS_PER_VM),
                "does not fit; StoreBudget must pause by the fleet's size, and the directory should"
                        + " be one value");
    }

    private Row denseChanges() {
        double changes = mSize.changesPerDay() / 3_600;
        double head = new Projection(mSlopes, mSize, Assumptions.PAGE).headAnswer();
        return new Row(
                "2,100 changes within an hour, each watcher",
                text("%.1f changes/s, %.0f KB/s of heads", changes, changes * head / KILO),
                "does not fit: bytes; a head of fewer records, about 20, or one read a second");
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
                text("%,d calls, one to each VM, all at once", mSize.vms()),
                "not measured; ask only the service's cell, and a bounded number at once");
    }

    private Row report() {
        double series = Math.min(MOST_SERIES, mSize.customersPerVm() * KINDS);
        double bytes = at(Quantity.BURN_BYTES, series);
        return new Row(
                "burn report of the whole fleet",
                text(
                        "%,d calls, %.1f MB from a VM after an hour, %.0f GB in all",
                        mSize.vms(), bytes / MEGA, mSize.vms() * bytes / GIGA),
                "does not fit; ask for one customer, or let VMs send sums of the windows");
    }

    private double at(Quantity quantity, double size) {
        return mSlopes.at(quantity, size);
    }

    private static String text(String format, Object... values) {
        return String.format(Locale.ROOT, format, values);
    }
}
