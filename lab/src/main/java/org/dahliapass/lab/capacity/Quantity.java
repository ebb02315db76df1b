package org.dahliapass.lab.capacity;

/** A measured quantity, with its unit and the unit of the size that it grows with. */
enum Quantity {
    MEMBER_HEAP("member list and snapshot, retained", Unit.HEAP_BYTES, "member"),
    GOSSIP_SECOND("one second of gossip without updates", Unit.MICROSECONDS, "member"),
    DATAGRAM_BYTES("datagram", Unit.WIRE_BYTES, "member update"),
    MEMBER_CHANGE("member change, applied and published", Unit.MICROSECONDS, "member"),
    LIST_BYTES("full member list", Unit.WIRE_BYTES, "member"),
    LIST_TIME("exchange of the full member list, both sides", Unit.MICROSECONDS, "member"),
    CELL_PLAN("planning of one cell", Unit.MICROSECONDS, "member"),
    ASK("discovery: cell planning and selection", Unit.MICROSECONDS, "member"),
    SERVICE_HEAP("service with 23 targets and evidence from all zones", Unit.HEAP_BYTES, "service"),
    TARGET_HEAP("target with evidence from all zones", Unit.HEAP_BYTES, "target"),
    CONTROL_TICK("control tick of one service", Unit.MICROSECONDS, "target"),
    OUTCOME("response recorded as evidence", Unit.MICROSECONDS, "response"),
    EVIDENCE_BYTES("evidence report", Unit.WIRE_BYTES, "target and kind"),
    EVIDENCE_TIME(
            "evidence report, encoded, decoded and applied", Unit.MICROSECONDS, "target and kind"),
    REPLY_BYTES("empty reply", Unit.WIRE_BYTES, "reply"),
    TEMPLATE_HEAP("parsed customer template", Unit.HEAP_BYTES, "template"),
    TEXT_HEAP("text of a customer template", Unit.HEAP_BYTES, "template"),
    RECORD_HEAP("change record", Unit.HEAP_BYTES, "record"),
    DIRECTORY_HEAP("directory of services and own cells", Unit.HEAP_BYTES, "service"),
    CELLS_CHECK("check of all cells at a member change", Unit.MICROSECONDS, "service"),
    DIRECTORY_FILL("load of the full directory by a starting VM", Unit.MICROSECONDS, "service"),
    VM_LIST_BYTES("platform's VM list", Unit.WIRE_BYTES, "VM"),
    VM_LIST_PARSE("platform's VM list, parsed as JSON", Unit.MICROSECONDS, "VM"),
    WATCHER_CHOICE("selection of the watchers of a zone", Unit.MICROSECONDS, "member"),
    TEMPLATE_PARSE("parsing of customer templates", Unit.MICROSECONDS, "template"),
    ROUTING_CHANGE("replacement of a template in the routing table", Unit.MICROSECONDS, "customer"),
    HEAD_BYTES("head value", Unit.WIRE_BYTES, "change record"),
    HEAD_DECODE("decoding of the head value", Unit.MICROSECONDS, "change record"),
    ACCEPT_CALLS("accepted change, store calls", Unit.CALLS, "service in the template"),
    ACCEPT_WRITES("accepted change, store writes", Unit.CALLS, "service in the template"),
    ACCEPT_BYTES(
            "accepted change, store bytes read and written", Unit.WIRE_BYTES, "record in the head"),
    ACCEPT_TIME("accepted change, decisions and codec", Unit.MICROSECONDS, "record in the head"),
    HOME_HEAP("operation key at its home", Unit.HEAP_BYTES, "key"),
    WITNESS_HEAP("operation key at its witness", Unit.HEAP_BYTES, "key"),
    GUARDED_TIME("guarded operations, home and witness", Unit.MICROSECONDS, "operation"),
    GUARDED_BYTES("four messages of a guarded operation", Unit.WIRE_BYTES, "body byte"),
    BURN_HEAP("outcome history series", Unit.HEAP_BYTES, "series"),
    BURN_TIME("outcomes recorded for the error budget report", Unit.MICROSECONDS, "response"),
    BURN_BYTES("outcome buckets of a VM", Unit.WIRE_BYTES, "series");

    private final String mLabel;
    private final Unit mUnit;
    private final String mSizeUnit;

    Quantity(String label, Unit unit, String sizeUnit) {
        mLabel = label;
        mUnit = unit;
        mSizeUnit = sizeUnit;
    }

    /** Returns the description for the report. */
    String label() {
        return mLabel;
    }

    /** Returns the unit of the values. */
    Unit unit() {
        return mUnit;
    }

    /** Returns the unit of the sizes. */
    String sizeUnit() {
        return mSizeUnit;
    }
}
