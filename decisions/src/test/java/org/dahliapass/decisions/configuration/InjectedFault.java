package org.dahliapass.decisions.configuration;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Creates the production classes, with one of their guards disabled by each fault. */
enum InjectedFault {
    NONE(""),
    /** A VM applies every change that it receives, also an older one. */
    NO_MONOTONICITY_CHECK("reverted to an older change") {
        @Override
        ConfigurationFollower follower(
                FollowerSettings settings, FollowerPeers peers, RandomGenerator random) {
            ActiveTemplates templates =
                    new ActiveTemplates(text -> Optional.empty(), settings.textCacheSize()) {
                        @Override
                        boolean isNewer(ChangeRecord record) {
                            return !number(record.customer()).equals(Optional.of(record.number()));
                        }
                    };
            return new ConfigurationFollower(settings, peers, templates, random) {
                @Override
                boolean supersedes(ChangeRecord record) {
                    return !activeNumber(record.customer()).equals(Optional.of(record.number()));
                }
            };
        }
    },
    /** A writer evicts a change from the ring without writing its pointer. */
    NO_POINTER("A change was lost") {
        @Override
        StoreProtocol accept(AcceptRequest request, int ringCapacity) {
            return new AcceptProtocol(request, ringCapacity) {
                @Override
                List<Preparation> preparations(Head head, int capacity) {
                    return super.preparations(head, capacity).stream()
                            .filter(preparation -> preparation.key().kind() != StoreKind.POINTER)
                            .toList();
                }
            };
        }
    },
    /** A writer treats a lost response as a failed write. */
    LOST_RESPONSE_AS_NOT_WRITTEN("Accepted after being reported as not accepted") {
        @Override
        StoreProtocol accept(AcceptRequest request, int ringCapacity) {
            return new LostResponseAsNotWritten(new AcceptProtocol(request, ringCapacity));
        }
    };

    private final String mSymptom;

    InjectedFault(String symptom) {
        mSymptom = symptom;
    }

    /** Returns a part of the message with which the oracle detects the fault. */
    String symptom() {
        return mSymptom;
    }

    StoreProtocol accept(AcceptRequest request, int ringCapacity) {
        return new AcceptProtocol(request, ringCapacity);
    }

    ConfigurationFollower follower(
            FollowerSettings settings, FollowerPeers peers, RandomGenerator random) {
        return new ConfigurationFollower(settings, peers, text -> Optional.empty(), random);
    }

    private record LostResponseAsNotWritten(AcceptProtocol accept) implements StoreProtocol {
        @Override
        public StoreAction start() {
            return accept.start();
        }

        @Override
        public StoreAction onRead(Optional<StoreItem> item, long index) {
            return accept.onRead(item, index);
        }

        @Override
        public StoreAction onReadFailed() {
            return accept.onReadFailed();
        }

        @Override
        public StoreAction onSwap(SwapOutcome outcome) {
            return accept.onSwap(
                    outcome == SwapOutcome.UNKNOWN ? SwapOutcome.NOT_WRITTEN : outcome);
        }
    }
}
