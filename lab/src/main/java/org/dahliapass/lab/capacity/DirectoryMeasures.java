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
final class DirectoryMeasures implements Measures {
    private static final int MEMBERS = 3_700;
    private static final int[] SERVICES = {100, 200, 400};
    private static final int[] FILLED = {400, 800, 1_600};
    private static final int[] LISTED = {500, 1_500, 3_700};

    @Override
    public List<Slope> take(Probe probe) {
        List<Slope> slopes = new ArrayList<>();
        slopes.add(probe.heap(Quantity.DIRECTORY_HEAP, SERVICES, DirectoryMeasures::filled));
        slopes.add(probe.time(Quantity.CELLS_CHECK, SERVICES, 1, DirectoryMeasures::change));
        slopes.add(probe.time(Quantity.DIRECTORY_FILL, FILLED, 1, DirectoryMeasures::fill));
        slopes.add(Probe.exact(Quantity.VM_LIST_BYTES, LISTED, vms -> vmList((int) vms).length()));
        slopes.add(probe.time(Quantity.VM_LIST_PARSE, LISTED, 1, DirectoryMeasures::parse));
        return slopes;
    }

    private static SampleDirectory filled(int services) {
        return new SampleDirectory(MEMBERS).fill(SampleDirectory.providers(services));
    }

    private static Runnable change(int services) {
        SampleDirectory directory = filled(services);
        return directory::memberChanged;
    }

    private static Runnable fill(int services) {
        List<ChangeRecord> providers = SampleDirectory.providers(services);
        return () -> new SampleDirectory(MEMBERS).fill(providers);
    }

    /** Returns the platform's list as its stand-in writes it. */
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
            throw new OperationException("write VM list", "lab", "It can't be written.", failure);
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
                    throw new IllegalStateException("The sample list lost VMs.");
                }
            } catch (JsonProcessingException failure) {
                throw new OperationException("read VM list", "lab", "It can't be read.", failure);
            }
        };
    }
}
