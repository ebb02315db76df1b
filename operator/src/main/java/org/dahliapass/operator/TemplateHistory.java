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

/** The accepted changes of one customer's template, read from the store. */
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
        TemplateHistory history = new TemplateHistory(store, customer);
        Head head =
                Invocation.await(store.read(StoreKey.HEAD))
                        .map(Head.class::cast)
                        .orElse(Head.EMPTY);
        Invocation.await(store.read(StoreKey.pointer(customer)))
                .map(Pointer.class::cast)
                .ifPresent(history::addPointer);
        head.ring().stream()
                .filter(record -> record.customer().equals(customer))
                .forEach(history::addRecord);
        return history;
    }

    /** Returns the changes whose records are still stored, in ascending order of number. */
    List<ChangeRecord> records() {
        return mRecords;
    }

    /** Returns older changes of which only the operation id and the number are stored. */
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

    /** Skips a change already added, as the pointer and the ring may both contain it. */
    private void addRecord(ChangeRecord record) {
        if (newest().map(ChangeRecord::number).orElse(0L) < record.number()) {
            mRecords.add(record);
        }
    }
}
