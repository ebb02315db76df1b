package org.dahliapass.operator;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dahliapass.decisions.configuration.ChangeRecord;
import org.dahliapass.decisions.configuration.Head;
import org.dahliapass.decisions.configuration.PastOperation;
import org.dahliapass.decisions.configuration.Pointer;
import org.dahliapass.decisions.configuration.StoreKey;
import org.dahliapass.decisions.configuration.TemplateText;
import org.dahliapass.registry.ConfigurationStore;

/** Looks up in the store what was accepted for one customer: the head first, then the pointer. */
final class TemplateHistory {
    private final ConfigurationStore mStore;
    private final String mCustomer;
    private final List<ChangeRecord> mRecords = new ArrayList<>();
    private List<PastOperation> mOlderOperations = List.of();

    private TemplateHistory(ConfigurationStore store, String customer) {
        mStore = store;
        mCustomer = customer;
    }

    static TemplateHistory read(ConfigurationStore store, String customer)
            throws InterruptedException {
        TemplateHistory found = new TemplateHistory(store, customer);
        Head head =
                Invocation.await(store.read(StoreKey.HEAD))
                        .map(Head.class::cast)
                        .orElse(Head.EMPTY);
        Invocation.await(store.read(StoreKey.pointer(customer)))
                .map(Pointer.class::cast)
                .ifPresent(found::addPointer);
        head.ring().stream()
                .filter(record -> record.customer().equals(customer))
                .forEach(found::addRecord);
        return found;
    }

    /** Returns the changes whose records are still known, by growing number. */
    List<ChangeRecord> records() {
        return mRecords;
    }

    /** Returns older accepts of which only the operation and the number are known. */
    List<PastOperation> olderOperations() {
        return mOlderOperations;
    }

    Optional<ChangeRecord> newest() {
        return mRecords.isEmpty()
                ? Optional.empty()
                : Optional.of(mRecords.get(mRecords.size() - 1));
    }

    Optional<ChangeRecord> find(long number) {
        return mRecords.stream().filter(record -> record.number() == number).findFirst();
    }

    Optional<String> text(ChangeRecord record) throws InterruptedException {
        return Invocation.await(mStore.read(StoreKey.text(mCustomer, record.digest())))
                .map(TemplateText.class::cast)
                .map(TemplateText::text);
    }

    private void addPointer(Pointer pointer) {
        mRecords.add(pointer.newest());
        mOlderOperations =
                pointer.operations().stream()
                        .filter(operation -> operation.number() < pointer.newest().number())
                        .toList();
    }

    /** The pointer is written before its change leaves the ring, so both may have the change. */
    private void addRecord(ChangeRecord record) {
        if (newest().map(ChangeRecord::number).orElse(0L) < record.number()) {
            mRecords.add(record);
        }
    }
}
