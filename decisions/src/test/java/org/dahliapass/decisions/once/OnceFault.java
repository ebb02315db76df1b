package org.dahliapass.decisions.once;

import java.util.Optional;
import org.dahliapass.decisions.once.HomeRecord.State;
import org.dahliapass.decisions.once.WitnessRegister.Entry;
import org.dahliapass.model.VmIdentity;

/** Creates the production classes of a VM; each fault disables one of their guards. */
enum OnceFault {
    NONE,

    NONE_WITH_LARGE_TABLES {
        @Override
        <R> OperationTable<R> table() {
            return new OperationTable<>(WINDOW, new TableLimits(1_000, 10, 1_000_000, 16));
        }
    },

    DISPATCHES_WITHOUT_ACKNOWLEDGEMENT {
        @Override
        HomeLedger ledger(VmIdentity self) {
            return new HomeLedger(self, MAX_ATTEMPTS, table()) {
                @Override
                boolean mayDispatch(IntentReply reply) {
                    return true;
                }
            };
        }
    },

    DISPATCHES_AFTER_TIMEOUT {
        @Override
        HomeLedger ledger(VmIdentity self) {
            return new HomeLedger(self, MAX_ATTEMPTS, table()) {
                @Override
                boolean awaitsWitness(HomeRecord record) {
                    boolean abandoned = record.state() == State.NOT_RUN && record.attempt() == 0;
                    return abandoned || super.awaitsWitness(record);
                }
            };
        }
    },

    DISPATCHES_FOR_EARLIER_INCARNATION {
        @Override
        HomeLedger ledger(VmIdentity self) {
            return new HomeLedger(self, MAX_ATTEMPTS, table()) {
                @Override
                boolean isHomeOf(OperationKey key) {
                    return key.home().name().equals(self.name());
                }
            };
        }
    },

    COUNTS_REFUSALS_OF_EARLIER_ATTEMPTS {
        @Override
        HomeLedger ledger(VmIdentity self) {
            OperationTable<HomeRecord> table = table();
            return new HomeLedger(self, MAX_ATTEMPTS, table) {
                @Override
                Optional<HomeRecord> openAttempt(Operation operation, int attempt) {
                    return table.find(operation)
                            .filter(known -> known.isOpenAttempt(known.attempt()));
                }
            };
        }
    },

    REFUSES_WITHOUT_RECORDING {
        @Override
        WitnessRegister register(VmIdentity self) {
            return new WitnessRegister(self, table()) {
                @Override
                boolean refuse(Operation operation) {
                    return true;
                }
            };
        }
    },

    ANSWERS_FOR_EARLIER_WITNESS_INCARNATION {
        @Override
        WitnessRegister register(VmIdentity self) {
            return new WitnessRegister(self, table()) {
                @Override
                boolean isWitnessOf(OperationKey key) {
                    return key.witness().name().equals(self.name());
                }
            };
        }

        @Override
        Resolver resolver(VmIdentity self, WitnessRegister register) {
            return new Resolver(self, register) {
                @Override
                public ResolverStep witnessAnswered(
                        Operation operation, VmIdentity from, OperationAnswer answer) {
                    return new ResolverStep.Answer(answer);
                }
            };
        }
    },

    EVICTS_RECORDS_WHEN_FULL {
        @Override
        <R> OperationTable<R> table() {
            return new OperationTable<>(WINDOW, LIMITS) {
                @Override
                boolean hasCapacity(int maxRecords) {
                    if (!super.hasCapacity(maxRecords)) {
                        evictOldest();
                    }
                    return true;
                }
            };
        }
    },

    REFUSES_WITHOUT_CAPACITY {
        @Override
        <R> OperationTable<R> table() {
            return new OperationTable<>(WINDOW, LIMITS) {
                @Override
                boolean addRefusal(Operation operation, R record) {
                    super.addRefusal(operation, record);
                    return true;
                }
            };
        }
    },

    EVICTS_RECORDS_EARLY {
        @Override
        <R> OperationTable<R> table() {
            return new OperationTable<>(WINDOW, LIMITS) {
                @Override
                boolean canEvict(Operation operation, long nowMillis) {
                    return nowMillis - operation.key().issuedMillis()
                            > WINDOW.retentionMillis() / 2;
                }
            };
        }
    },

    ANSWERS_NOT_RUN_ON_TIMEOUT {
        @Override
        Resolver resolver(VmIdentity self, WitnessRegister register) {
            return new Resolver(self, register) {
                @Override
                public ResolverStep witnessUnavailable() {
                    return new ResolverStep.Answer(
                            new OperationAnswer.NotRun(NotRunReason.WITNESS_SILENT));
                }
            };
        }
    };

    static final RetentionWindow WINDOW = new RetentionWindow(5_000, 60_000);
    static final TableLimits LIMITS = new TableLimits(4, 1, 4 * OperationTable.BASE_BYTES + 20, 16);
    static final int MAX_ATTEMPTS = 2;

    /** Returns whether no guard is disabled. */
    boolean isNone() {
        return this == NONE || this == NONE_WITH_LARGE_TABLES;
    }

    HomeLedger ledger(VmIdentity self) {
        OperationTable<HomeRecord> table = table();
        return new HomeLedger(self, MAX_ATTEMPTS, table);
    }

    WitnessRegister register(VmIdentity self) {
        OperationTable<Entry> table = table();
        return new WitnessRegister(self, table);
    }

    Resolver resolver(VmIdentity self, WitnessRegister register) {
        return new Resolver(self, register);
    }

    <R> OperationTable<R> table() {
        return new OperationTable<>(WINDOW, LIMITS);
    }
}
