package org.dahliapass.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dahliapass.decisions.configuration.ChangeRecord;
import org.dahliapass.decisions.configuration.CustomerGroup;
import org.dahliapass.decisions.configuration.GroupSnapshot;
import org.dahliapass.decisions.configuration.RecordsRequest;
import org.dahliapass.decisions.configuration.RecordsResponse;
import org.dahliapass.decisions.configuration.ServiceUse;
import org.dahliapass.model.ServiceId;
import org.dahliapass.wire.message.FetchChanges;
import org.dahliapass.wire.message.FetchChangesReply;
import org.dahliapass.wire.message.Service;

/** Converts between configuration records and the messages between VMs. */
final class ChangeCodec {
    private ChangeCodec() {}

    static org.dahliapass.wire.message.ChangeRecord encode(ChangeRecord record) {
        org.dahliapass.wire.message.ChangeRecord.Builder message =
                org.dahliapass.wire.message.ChangeRecord.newBuilder()
                        .setNumber(record.number())
                        .setCustomer(record.customer())
                        .setDigest(record.digest())
                        .setOperationId(record.operationId())
                        .setAuthor(record.author())
                        .setBaseNumber(record.baseNumber());
        for (ServiceUse use : record.services()) {
            message.addServices(
                    org.dahliapass.wire.message.ServiceUse.newBuilder()
                            .setService(encode(use.service()))
                            .setCellSize(use.cellSize()));
        }
        return message.build();
    }

    static ChangeRecord decode(org.dahliapass.wire.message.ChangeRecord message) {
        return new ChangeRecord(
                message.getNumber(),
                message.getCustomer(),
                message.getDigest(),
                message.getServicesList().stream()
                        .map(use -> new ServiceUse(decode(use.getService()), use.getCellSize()))
                        .toList(),
                message.getOperationId(),
                message.getAuthor(),
                message.getBaseNumber());
    }

    static List<ChangeRecord> decode(List<org.dahliapass.wire.message.ChangeRecord> messages) {
        return messages.stream().map(ChangeCodec::decode).toList();
    }

    static FetchChanges encode(RecordsRequest request) {
        FetchChanges.Builder message = FetchChanges.newBuilder().setSinceNumber(request.since());
        for (CustomerGroup group : request.groups()) {
            if (group.service().isPresent()) {
                message.addGroups(encode(group.service().get()));
            } else {
                message.setProviders(true);
            }
        }
        return message.build();
    }

    static RecordsRequest decode(FetchChanges message) {
        List<CustomerGroup> groups = new ArrayList<>();
        if (message.getProviders()) {
            groups.add(CustomerGroup.PROVIDERS);
        }
        message.getGroupsList().forEach(service -> groups.add(CustomerGroup.of(decode(service))));
        return new RecordsRequest(message.getSinceNumber(), groups);
    }

    static FetchChangesReply encode(RecordsResponse response) {
        FetchChangesReply.Builder message =
                FetchChangesReply.newBuilder()
                        .setFirstNumber(response.firstNumber())
                        .setThroughNumber(response.through());
        response.records().forEach(record -> message.addChanges(encode(record)));
        for (GroupSnapshot snapshot : response.snapshots()) {
            org.dahliapass.wire.message.CustomerGroup.Builder group =
                    org.dahliapass.wire.message.CustomerGroup.newBuilder();
            snapshot.group().service().ifPresent(service -> group.setService(encode(service)));
            snapshot.newest().forEach(record -> group.addNewest(encode(record)));
            message.addGroups(group);
        }
        return message.build();
    }

    static RecordsResponse decode(FetchChangesReply message) {
        List<GroupSnapshot> snapshots =
                message.getGroupsList().stream()
                        .map(
                                group ->
                                        new GroupSnapshot(
                                                groupOf(group), decode(group.getNewestList())))
                        .toList();
        return new RecordsResponse(
                message.getFirstNumber(),
                message.getThroughNumber(),
                decode(message.getChangesList()),
                snapshots);
    }

    private static CustomerGroup groupOf(org.dahliapass.wire.message.CustomerGroup message) {
        return message.hasService()
                ? new CustomerGroup(Optional.of(decode(message.getService())))
                : CustomerGroup.PROVIDERS;
    }

    private static Service encode(ServiceId id) {
        return Service.newBuilder().setProvider(id.provider()).setName(id.name()).build();
    }

    private static ServiceId decode(Service message) {
        return new ServiceId(message.getProvider(), message.getName());
    }
}
