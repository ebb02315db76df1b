package org.dahliapass.lab.capacity;

import java.util.ArrayList;
import java.util.List;
import org.dahliapass.decisions.configuration.Head;
import org.dahliapass.decisions.configuration.Watchers;

/**
 * Projects the load of a fleet on the platform's store and compares it with the store's capacity.
 */
final class StoreLoad {
    /** Reads per second that the store sustains. */
    static final double MAX_READS = 2_000;

    /** Writes per second that the store sustains. */
    static final double MAX_WRITES = 300;

    private static final double WATCH_SECONDS = 55;
    private static final double LIST_READ_SECONDS = 450;
    private static final double BASE64 = 4.0 / 3;
    private static final double HOUR_SECONDS = 3_600;

    private final Measurements mMeasurements;
    private final FleetSize mSize;
    private final Projection mProjection;

    /**
     * The load of one source.
     *
     * @param source the caller and the situation
     * @param waiting open blocking reads
     * @param reads reads per second
     * @param writes writes per second
     * @param bytes bytes of values per second
     */
    record Row(String source, double waiting, double reads, double writes, double bytes) {
        /** Returns "fits" or "does not fit"; each blocking read counts as one read per second. */
        String verdict() {
            boolean fits = waiting + reads <= MAX_READS && writes <= MAX_WRITES;
            return fits ? "fits" : "does not fit";
        }
    }

    StoreLoad(Measurements measurements, FleetSize size) {
        mMeasurements = measurements;
        mSize = size;
        mProjection = new Projection(measurements, size, Assumptions.DEFAULTS);
    }

    /** Returns the load on an ordinary day, and in an hour with the changes of a day. */
    List<Row> rows() {
        List<Row> rows = new ArrayList<>();
        double ordinary = mSize.changesPerSecond();
        double burst = mSize.changesPerDay() / HOUR_SECONDS;
        rows.add(watchers("watchers' reads of the head, ordinary day", ordinary));
        rows.add(texts("watchers' reads of changed texts, ordinary day", ordinary));
        rows.add(acceptedChanges("accepted changes, ordinary day", ordinary));
        rows.add(watchers("watchers' reads of the head, changes of a day in one hour", burst));
        rows.add(texts("watchers' reads of changed texts, changes of a day in one hour", burst));
        rows.add(acceptedChanges("accepted changes, changes of a day in one hour", burst));
        rows.add(vmList());
        return rows;
    }

    private double watcherCount() {
        return (double) mSize.zones() * Watchers.PER_ZONE;
    }

    private Row watchers(String source, double changes) {
        double reads = watcherCount() * (changes + 1 / WATCH_SECONDS);
        return new Row(source, watcherCount(), reads, 0, reads * mProjection.headResponseBytes());
    }

    private Row texts(String source, double changes) {
        double reads = watcherCount() * changes;
        double text = mMeasurements.perUnit(Quantity.TEXT_HEAP) * BASE64;
        return new Row(source, 0, reads, 0, reads * text);
    }

    private Row acceptedChanges(String source, double changes) {
        double calls = changes * mMeasurements.estimate(Quantity.ACCEPT_CALLS, 1);
        double writes = changes * mMeasurements.estimate(Quantity.ACCEPT_WRITES, 1);
        double bytes = changes * mMeasurements.estimate(Quantity.ACCEPT_BYTES, Head.RING_CAPACITY);
        return new Row(source, 0, calls - writes, writes, bytes * BASE64);
    }

    private Row vmList() {
        double reads = mSize.vms() / LIST_READ_SECONDS;
        double list = mMeasurements.estimate(Quantity.VM_LIST_BYTES, mSize.vms());
        return new Row("VM list, read by each VM", 0, reads, 0, reads * list);
    }
}
