package org.dahliapass.lab.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Projects the cost of each role on one VM in a fleet of a given size from the measurements. */
final class Projection {
    private static final double MICROS = 1e6;
    private static final double TICKS_PER_SECOND = 4;

    /** The mean of a random period between 5 and 10 minutes. */
    private static final double LIST_READ_SECONDS = 450;

    private static final double BYTES_PER_ADDRESS = 8;
    private static final double DISCOVERY_TTL_SECONDS = 30;
    private static final double OPERATION_WINDOW_SECONDS = 3_600;
    private static final double EXCHANGE_SECONDS = 15;
    private static final double MEMBERS_PER_EXCHANGE = 256;
    private static final double RETRANSMISSIONS = 2;
    private static final int RUMOR_FANOUT = 3;
    private static final int CHANGE_FANOUT = 4;
    private static final int GOSSIP_MESSAGES = 4;
    private static final int GUARDED_MESSAGES = 4;
    private static final int MAX_SERIES = 1_000;
    private static final int HEAD_RECORDS = 256;
    private static final double WATCH_SECONDS = 55;
    private static final double BASE64 = 4.0 / 3;

    private final Measurements mMeasurements;
    private final FleetSize mSize;
    private final Assumptions mAssumptions;

    Projection(Measurements measurements, FleetSize size, Assumptions assumptions) {
        mMeasurements = measurements;
        mSize = size;
        mAssumptions = assumptions;
    }

    /** Returns the rows of all components that every VM runs. */
    List<RoleRow> vmRows() {
        List<RoleRow> rows = new ArrayList<>();
        rows.add(gossip());
        rows.add(memberUpdates());
        rows.add(listExchange());
        rows.add(cellsOnChange());
        rows.add(vmList());
        rows.add(targets());
        rows.add(responses());
        rows.add(evidenceRow());
        rows.add(polls());
        rows.add(configuration());
        rows.add(guardedRow());
        rows.add(discovery());
        rows.add(outcomeHistory());
        return rows;
    }

    /** Returns the total cost of the rows. */
    static Cost sum(List<RoleRow> rows) {
        return rows.stream().map(RoleRow::cost).reduce(Cost.ZERO, Cost::plus);
    }

    /** Returns the additional cost of a watcher. */
    RoleRow watcherRow() {
        double reads = mSize.changesPerSecond() + 1 / WATCH_SECONDS;
        double head = headResponseBytes();
        double text = mMeasurements.perUnit(Quantity.TEXT_HEAP) * BASE64;
        Cost cost =
                new Cost(
                        2 * (reads + mSize.changesPerSecond()),
                        reads * head + mSize.changesPerSecond() * text,
                        reads * at(Quantity.HEAD_DECODE, HEAD_RECORDS) / MICROS,
                        head);
        return new RoleRow(
                "watcher",
                "head read at each change and every 55 s; text of each change",
                "the head value, " + HEAD_RECORDS + " records",
                cost,
                "Watchers: two VMs per zone, with one blocking read each",
                "keep fewer records in the head");
    }

    /** Returns the size of the store's response to a read of the head, in bytes. */
    double headResponseBytes() {
        return at(Quantity.HEAD_BYTES, HEAD_RECORDS) * BASE64 + Envelope.STREAM_HEADERS;
    }

    private RoleRow gossip() {
        double datagram = at(Quantity.DATAGRAM_BYTES, 1) + Envelope.DATAGRAM_HEADERS;
        Cost cost =
                new Cost(
                        GOSSIP_MESSAGES,
                        GOSSIP_MESSAGES * datagram,
                        at(Quantity.GOSSIP_SECOND, mSize.vms()) / MICROS,
                        at(Quantity.MEMBER_HEAP, mSize.vms()));
        return new RoleRow(
                "gossip member",
                "pings and the member list",
                count(mSize.vms()) + " members",
                cost,
                "SWIM: one ping per second at any fleet size",
                "");
    }

    /** Returns how many times a VM retransmits one member update. */
    double transmissions() {
        return RETRANSMISSIONS * Math.log(mSize.vms() + 1.0) / Math.log(2);
    }

    private RoleRow memberUpdates() {
        double updates = mSize.memberUpdatesPerSecond();
        double rumor = at(Quantity.DATAGRAM_BYTES, 1) + Envelope.DATAGRAM_HEADERS;
        double repeated = 2 * transmissions() * mMeasurements.perUnit(Quantity.DATAGRAM_BYTES);
        double rumors = 2 * RUMOR_FANOUT;
        Cost cost =
                new Cost(
                        updates * rumors,
                        updates * (repeated + rumors * rumor),
                        updates * at(Quantity.MEMBER_CHANGE, mSize.vms()) / MICROS,
                        0);
        return new RoleRow(
                "gossip member",
                "member updates, " + decimal(updates) + "/s",
                "updates to retransmit",
                cost,
                "updates are piggybacked on pings; rumors are sent to three VMs",
                "");
    }

    private RoleRow listExchange() {
        double seconds = EXCHANGE_SECONDS * Math.max(1, mSize.vms() / MEMBERS_PER_EXCHANGE);
        double list = at(Quantity.LIST_BYTES, mSize.vms()) + Envelope.STREAM_HEADERS;
        Cost cost =
                new Cost(
                        2 * 2 / seconds,
                        2 * list / seconds,
                        at(Quantity.LIST_TIME, mSize.vms()) / MICROS / seconds,
                        0);
        return new RoleRow(
                "gossip member",
                "full member lists, every " + count(seconds) + " s, always different",
                "none",
                cost,
                "lists are sent only if the digests differ; less often in larger fleets",
                "send differences only, found by digests of name ranges");
    }

    private RoleRow cellsOnChange() {
        double updates = mSize.memberUpdatesPerSecond();
        double own = mSize.servicesPerVm() * at(Quantity.CELL_PLAN, mSize.vms());
        double micros =
                at(Quantity.CELLS_CHECK, mSize.services())
                        + at(Quantity.WATCHER_CHOICE, mSize.vms())
                        + own;
        return new RoleRow(
                "entry VM",
                "cells checked and own cells planned at each member change",
                count(mSize.services()) + " cell ranks",
                new Cost(
                        0,
                        0,
                        updates * micros / MICROS,
                        at(Quantity.DIRECTORY_HEAP, mSize.services())),
                "CellMembership: one score per service; plans cached until the next change",
                "check only the services whose cells the changed VM can affect");
    }

    private RoleRow vmList() {
        double list = at(Quantity.VM_LIST_BYTES, mSize.vms()) + Envelope.STREAM_HEADERS;
        double reads = 1 / LIST_READ_SECONDS;
        return new RoleRow(
                "entry VM",
                "platform's VM list, read in full every 5 to 10 minutes",
                count(mSize.vms()) + " addresses",
                new Cost(
                        2 * reads,
                        reads * list,
                        reads * at(Quantity.VM_LIST_PARSE, mSize.vms()) / MICROS,
                        mSize.vms() * BYTES_PER_ADDRESS),
                "jittered reads; frequent only while the VM is new or isolated",
                "");
    }

    private RoleRow targets() {
        double services = mSize.servicesPerVm();
        double tick = at(Quantity.CONTROL_TICK, mSize.targetsPerService());
        return new RoleRow(
                "entry VM",
                "health of " + decimal(services) + " services' targets, four ticks per second",
                count(services * mSize.targetsPerService()) + " targets with evidence",
                new Cost(
                        0,
                        0,
                        services * TICKS_PER_SECOND * tick / MICROS,
                        services * mMeasurements.perUnit(Quantity.SERVICE_HEAP)),
                "TargetHealth: counts by target, zone and kind",
                "assess only targets with new evidence; keep running sums of the windows");
    }

    private RoleRow responses() {
        double micros =
                mMeasurements.perUnit(Quantity.OUTCOME) + mMeasurements.perUnit(Quantity.BURN_TIME);
        return new RoleRow(
                "entry VM",
                "responses recorded, " + decimal(mSize.requestsPerVm()) + "/s",
                "none",
                new Cost(0, 0, mSize.requestsPerVm() * micros / MICROS, 0),
                "UnreportedEvidence and OutcomeHistory",
                "");
    }

    /** Returns the row of the evidence exchange within cells. */
    RoleRow evidenceRow() {
        EvidenceReportPacing pacing = new EvidenceReportPacing(mMeasurements, mSize, mAssumptions);
        return new RoleRow(
                "entry VM",
                "evidence to "
                        + (mSize.cellSize() - 1)
                        + " VMs of each cell, every "
                        + decimal(pacing.periodSeconds())
                        + " s",
                decimal(pacing.entriesPerReport()) + " target and kind pairs per report",
                pacing.cost(),
                "ReportPacer within evidence-budget, "
                        + count(mAssumptions.evidenceBytesPerSecond())
                        + " B/s; heartbeats every 1.5 s",
                "no heartbeats to VMs that gossip shows alive; no replies;"
                        + " target numbers instead of addresses");
    }

    private RoleRow polls() {
        double calls = mSize.servicesPerVm() * mSize.targetsPerService() / mSize.cellSize() * 2;
        return new RoleRow(
                "entry VM",
                "polls of targets' health and load, " + decimal(calls) + " calls/s",
                "none",
                new Cost(2 * calls, 0, 0, 0),
                "HealthPoller: one VM of the cell polls each target once per second",
                "bytes and processor time of the HTTP calls aren't measured");
    }

    private RoleRow configuration() {
        double customers = mSize.customersPerVm();
        double changes = mSize.changesPerSecond();
        double record = mMeasurements.perUnit(Quantity.HEAD_BYTES) + Envelope.STREAM_HEADERS;
        double forwarded = 2 * CHANGE_FANOUT * changes;
        double own = changes * customers / mSize.customers();
        Cost cost =
                new Cost(
                        forwarded,
                        forwarded * record,
                        own
                                * (mMeasurements.perUnit(Quantity.TEMPLATE_PARSE)
                                        + at(Quantity.ROUTING_CHANGE, customers))
                                / MICROS,
                        customers
                                        * (mMeasurements.perUnit(Quantity.TEMPLATE_HEAP)
                                                + mMeasurements.perUnit(Quantity.TEXT_HEAP))
                                + (customers + HEAD_RECORDS)
                                        * mMeasurements.perUnit(Quantity.RECORD_HEAP));
        return new RoleRow(
                "entry VM",
                "templates of the customers of its services; changes forwarded",
                count(customers) + " templates with records, " + HEAD_RECORDS + " newest changes",
                cost,
                "ConfigurationFollower: each VM forwards a change once, to four VMs",
                "");
    }

    /** Returns the row of guarded operations. */
    RoleRow guardedRow() {
        double operations = mSize.requestsPerVm() * mAssumptions.guardedShare();
        double keys = operations * OPERATION_WINDOW_SECONDS;
        double message =
                at(Quantity.GUARDED_BYTES, mAssumptions.bodyBytes())
                        + GUARDED_MESSAGES * Envelope.STREAM_HEADERS;
        Cost cost =
                new Cost(
                        2 * GUARDED_MESSAGES * operations,
                        2 * operations * message,
                        operations * mMeasurements.perUnit(Quantity.GUARDED_TIME) / MICROS,
                        keys
                                * (mMeasurements.perUnit(Quantity.HOME_HEAP)
                                        + mMeasurements.perUnit(Quantity.WITNESS_HEAP)));
        return new RoleRow(
                "home and witness",
                "guarded operations, " + decimal(operations) + "/s, retained for an hour",
                count(keys) + " keys as home and as witness",
                cost,
                "HomeLedger and WitnessRegister; no store calls",
                "store digests instead of bodies at the witness; shorten operation-window");
    }

    private RoleRow discovery() {
        double requests =
                mSize.customers()
                        * mAssumptions.callersPerCustomer()
                        / DISCOVERY_TTL_SECONDS
                        / mSize.vms();
        double planned = plannedShare(requests);
        double selection =
                Math.max(0, at(Quantity.ASK, mSize.vms()) - at(Quantity.CELL_PLAN, mSize.vms()));
        double micros = selection + planned * at(Quantity.CELL_PLAN, mSize.vms());
        return new RoleRow(
                "discovery server",
                "discovery requests, "
                        + decimal(requests)
                        + "/s, "
                        + percent(planned)
                        + " for a cell that isn't planned yet",
                "cell plans since the last member change",
                new Cost(2 * requests, 0, requests * micros / MICROS, 0),
                "any VM responds from its member list and directory",
                "bytes and processor time of the HTTP call aren't measured");
    }

    /**
     * Returns the share of discovery requests that are the first for their service since the last
     * member change.
     */
    private double plannedShare(double requestsPerSecond) {
        double requests = requestsPerSecond / mSize.memberUpdatesPerSecond();
        double services = mSize.services();
        double distinct = services * (1 - Math.pow(1 - 1 / services, requests));
        return Math.min(1, distinct / requests);
    }

    private RoleRow outcomeHistory() {
        double series = Math.min(MAX_SERIES, mSize.customersPerVm() * mAssumptions.kinds());
        return new RoleRow(
                "entry VM",
                "outcome counts",
                count(series) + " series, at most " + MAX_SERIES,
                new Cost(0, 0, 0, series * mMeasurements.perUnit(Quantity.BURN_HEAP)),
                "OutcomeHistory, bounded",
                "");
    }

    private double at(Quantity quantity, double size) {
        return mMeasurements.estimate(quantity, size);
    }

    private static String count(double number) {
        return String.format(Locale.ROOT, "%,.0f", number);
    }

    private static String percent(double share) {
        return String.format(Locale.ROOT, "%.0f%%", 100 * share);
    }

    private static String decimal(double number) {
        return String.format(Locale.ROOT, "%.1f", number);
    }
}
