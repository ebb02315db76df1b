package org.dahliapass.lab.capacity;

import java.util.ArrayList;
import java.util.List;
import org.dahliapass.decisions.configuration.AcceptProtocol;
import org.dahliapass.decisions.configuration.AcceptRequest;
import org.dahliapass.decisions.configuration.ChangeRecord;
import org.dahliapass.decisions.configuration.Head;
import org.dahliapass.decisions.configuration.ServiceUse;
import org.dahliapass.decisions.configuration.StoreKey;
import org.dahliapass.decisions.configuration.TemplateText;
import org.dahliapass.decisions.configuration.Watchers;
import org.dahliapass.decisions.membership.MemberUpdate;
import org.dahliapass.entry.RoutingTable;
import org.dahliapass.model.ServiceId;
import org.dahliapass.model.ServiceTemplate;
import org.dahliapass.model.Template;
import org.dahliapass.model.TemplateParser;
import org.dahliapass.model.Vm;
import org.dahliapass.registry.ConfigurationCodec;

/** Measures customer templates, the head value and the acceptance of a change. */
final class ConfigurationBenchmark implements Benchmark {
    private static final int[] TEMPLATES = {100, 300, 1_000};
    private static final int[] PARSED = {5, 20, 60};
    private static final int[] CUSTOMERS = {500, 1_500, 4_000};
    private static final int[] RECORDS = {16, 64, 256};
    private static final int[] MEMBERS = {500, 1_500, 3_700};
    private static final int[] SERVICES = {1, 2, 4};
    private static final int CELL = 6;
    private static final int SAMPLE_SERVICES = 1_600;

    @Override
    public List<Measurement> run(ResourceMeter meter) {
        List<Measurement> measurements = new ArrayList<>();
        measurements.add(
                meter.measureHeap(
                        Quantity.TEMPLATE_HEAP, TEMPLATES, ConfigurationBenchmark::table));
        measurements.add(
                meter.measureHeap(Quantity.TEXT_HEAP, TEMPLATES, ConfigurationBenchmark::texts));
        measurements.add(
                meter.measureTime(
                        Quantity.TEMPLATE_PARSE, PARSED, 1, ConfigurationBenchmark::parse));
        measurements.add(
                meter.measureHeap(
                        Quantity.RECORD_HEAP, TEMPLATES, ConfigurationBenchmark::records));
        measurements.add(
                meter.measureTime(
                        Quantity.WATCHER_CHOICE,
                        MEMBERS,
                        1,
                        ConfigurationBenchmark::selectWatchers));
        measurements.add(
                meter.measureTime(
                        Quantity.ROUTING_CHANGE,
                        CUSTOMERS,
                        1,
                        ConfigurationBenchmark::replaceTemplate));
        measurements.add(
                ResourceMeter.measureExact(
                        Quantity.HEAD_BYTES, RECORDS, ConfigurationBenchmark::headBytes));
        measurements.add(
                meter.measureTime(
                        Quantity.HEAD_DECODE, RECORDS, 1, ConfigurationBenchmark::decodeHead));
        measurements.add(
                ResourceMeter.measureExact(
                        Quantity.ACCEPT_CALLS, SERVICES, ConfigurationBenchmark::calls));
        measurements.add(
                ResourceMeter.measureExact(
                        Quantity.ACCEPT_WRITES, SERVICES, ConfigurationBenchmark::writes));
        measurements.add(
                ResourceMeter.measureExact(
                        Quantity.ACCEPT_BYTES, RECORDS, ConfigurationBenchmark::bytes));
        measurements.add(
                meter.measureTime(
                        Quantity.ACCEPT_TIME, RECORDS, 1, ConfigurationBenchmark::accepts));
        return measurements;
    }

    private static Template template(int customer) {
        int service = customer % SAMPLE_SERVICES;
        return TemplateParser.parse(
                "customer-" + customer, SampleServices.customerText(customer, service));
    }

    private static RoutingTable table(int customers) {
        RoutingTable table = RoutingTable.EMPTY;
        for (int customer = 0; customer < customers; customer++) {
            table = table.with(template(customer));
        }
        return table;
    }

    private static List<String> texts(int customers) {
        List<String> texts = new ArrayList<>();
        for (int customer = 0; customer < customers; customer++) {
            texts.add(SampleServices.customerText(customer, customer % SAMPLE_SERVICES));
        }
        return texts;
    }

    /** Returns decoded records, which share no strings with each other. */
    private static Object records(int count) {
        return ConfigurationCodec.decode(StoreKey.HEAD, ConfigurationCodec.encode(head(count)));
    }

    private static Runnable selectWatchers(int members) {
        List<Vm> vms = SampleFleet.members(0, members).stream().map(MemberUpdate::vm).toList();
        return () -> Watchers.watches(vms.get(0), vms);
    }

    private static Runnable parse(int templates) {
        List<String> texts = texts(templates);
        return () -> texts.forEach(text -> TemplateParser.parse("customer", text));
    }

    private static Runnable replaceTemplate(int customers) {
        List<ServiceTemplate> services = template(0).services();
        RoutingTable[] table = {RoutingTable.EMPTY};
        for (Template template : withServices(customers, services)) {
            table[0] = table[0].with(template);
        }
        Template changed = template(0);
        return () -> table[0] = table[0].with(changed);
    }

    /** Shares the services among all templates, so that only the copy of the table is measured. */
    private static List<Template> withServices(int customers, List<ServiceTemplate> services) {
        List<Template> templates = new ArrayList<>();
        for (int customer = 0; customer < customers; customer++) {
            templates.add(new Template("customer-" + customer, services));
        }
        return templates;
    }

    private static List<ServiceUse> uses(int services) {
        List<ServiceUse> uses = new ArrayList<>();
        for (int service = 0; service < services; service++) {
            ServiceId id = new ServiceId("provider-" + service, "service-" + service);
            uses.add(new ServiceUse(id, CELL));
        }
        return uses;
    }

    private static ChangeRecord record(long number) {
        String text = SampleServices.customerText((int) number, 1);
        return new ChangeRecord(
                number,
                "customer-" + number,
                new TemplateText(text).digest(),
                uses(1),
                "0f8fad5b-d9cb-469f-a165-" + (100_000_000_000L + number),
                "operator-7",
                number - 1);
    }

    private static Head head(int records) {
        List<ChangeRecord> ring = new ArrayList<>();
        for (int number = 1; number <= records; number++) {
            ring.add(record(1_000_000 + number));
        }
        return new Head(1_000_000 + records, ring);
    }

    private static double headBytes(double records) {
        return ConfigurationCodec.encode(head((int) records)).length();
    }

    private static Runnable decodeHead(int records) {
        String text = ConfigurationCodec.encode(head(records));
        return () -> ConfigurationCodec.decode(StoreKey.HEAD, text);
    }

    private static AcceptRequest request(int services, long number) {
        return new AcceptRequest(
                "new-customer-" + number,
                new TemplateText(SampleServices.customerText((int) number, 1)),
                uses(services),
                "7c9e6679-7425-40de-944b-" + (100_000_000_000L + number),
                "operator-7",
                0);
    }

    private static double calls(double services) {
        return accepted((int) services).calls();
    }

    private static double writes(double services) {
        return accepted((int) services).writes();
    }

    /** Returns the store after a change is accepted into a full head, which evicts a record. */
    private static SampleStore accepted(int services) {
        SampleStore store = new SampleStore(head(Head.RING_CAPACITY));
        store.run(new AcceptProtocol(request(services, 1), Head.RING_CAPACITY));
        return store;
    }

    private static double bytes(double records) {
        SampleStore store = new SampleStore(head((int) records));
        store.run(new AcceptProtocol(request(1, 1), (int) records));
        return store.bytes();
    }

    private static Runnable accepts(int records) {
        SampleStore store = new SampleStore(head(records));
        long[] number = {0};
        return () -> {
            number[0]++;
            store.run(new AcceptProtocol(request(1, number[0]), records));
        };
    }
}
