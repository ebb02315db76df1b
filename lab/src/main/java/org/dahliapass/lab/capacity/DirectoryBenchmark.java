package org.dahliapass.lab.capacity;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.dahliapass.decisions.configuration.ChangeRecord;
import org.dahliapass.decisions.membership.MemberUpdate;
import org.dahliapass.kernel.OperationException;
import org.dahliapass.standins.VmRegistration;

/** Measures the directory of services and the platform's VM list. */
final class DirectoryBenchmark implements Benchmark {
    private static final int MEMBERS = 3_700;
    private static final int[] SERVICES = {100, 200, 400};
    private static final int[] FILLED = {400, 800, 1_600};
    private static final int[] LISTED = {500, 1_500, 3_700};

    @Override
    public List<Measurement> run(ResourceMeter meter) {
        List<Measurement> measurements = new ArrayList<>();
        measurements.add(
                meter.measureHeap(Quantity.DIRECTORY_HEAP, SERVICES, DirectoryBenchmark::filled));
        measurements.add(
                meter.measureTime(
                        Quantity.CELLS_CHECK, SERVICES, 1, DirectoryBenchmark::changeMember));
        measurements.add(
                meter.measureTime(Quantity.DIRECTORY_FILL, FILLED, 1, DirectoryBenchmark::fill));
        measurements.add(
                ResourceMeter.measureExact(
                        Quantity.VM_LIST_BYTES, LISTED, vms -> vmList((int) vms).length()));
        measurements.add(
                meter.measureTime(Quantity.VM_LIST_PARSE, LISTED, 1, DirectoryBenchmark::parse));
        return measurements;
    }

    private static SampleDirectory filled(int services) {
        return new SampleDirectory(MEMBERS).fill(SampleDirectory.providers(services));
    }

    private static Runnable changeMember(int services) {
        SampleDirectory directory = filled(services);
        return directory::toggleMember;
    }

    private static Runnable fill(int services) {
        List<ChangeRecord> providers = SampleDirectory.providers(services);
        return () -> new SampleDirectory(MEMBERS).fill(providers);
    }

    /** Returns the platform's VM list in the stand-in's JSON format. */
    private static String vmList(int vms) {
        List<Object> entries = new ArrayList<>();
        for (MemberUpdate member : SampleFleet.members(0, vms)) {
            VmRegistration vm = registration(member);
            entries.add(
                    Map.of(
                            "Node",
                            Map.of("Node", vm.id()),
                            "Service",
                            vm,
                            "Checks",
                            List.of(vm.check())));
        }
        try {
            return new ObjectMapper().writeValueAsString(entries);
        } catch (JsonProcessingException failure) {
            throw new OperationException(
                    "write VM list", "lab", "The sample VM list can't be serialized.", failure);
        }
    }

    private static VmRegistration registration(MemberUpdate member) {
        Map<String, String> meta =
                Map.of(
                        "peers",
                        member.vm().peerEndpoint().toString(),
                        "callers",
                        member.vm().callerEndpoint().toString(),
                        "operators",
                        member.operators().toString(),
                        "availability-zone",
                        member.vm().availabilityZone(),
                        "incarnation",
                        Long.toString(member.identity().incarnation(), Character.MAX_RADIX));
        return new VmRegistration(
                member.identity().name(),
                "dahliapass-vm",
                member.vm().callerEndpoint().host(),
                member.vm().callerEndpoint().port(),
                meta,
                VmRegistration.Check.LIVE);
    }

    private static Runnable parse(int vms) {
        String text = vmList(vms);
        ObjectMapper mapper = new ObjectMapper();
        return () -> {
            try {
                if (mapper.readTree(text).size() != vms) {
                    throw new IllegalStateException(
                            "The parsed VM list doesn't have the size of the sample fleet.");
                }
            } catch (JsonProcessingException failure) {
                throw new OperationException(
                        "read VM list", "lab", "The sample VM list isn't valid JSON.", failure);
            }
        };
    }
}
