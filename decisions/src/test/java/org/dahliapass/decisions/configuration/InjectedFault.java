package org.dahliapass.decisions.configuration;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** The production classes, whole or with one guard taken out; the fuzz must find each fault. */
enum InjectedFault {
    NONE(""),
    /** A VM takes every change that it hears of, also an older one. */
    NO_MONOTONE_CHECK("went back") {
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
    /** A writer pushes a change out of the ring and dies before it writes the pointer. */
    NO_POINTER("A change was lost") {
        @Override
        StoreProtocol accept(AcceptRequest request, int ringCapacity) {
            return new AcceptProtocol(request, ringCapacity) {
                @Override
                List<Preparation> preparations(Head head, int capacity) {
                    return super.preparations(head, capacity).stream()
                            .filter(one -> one.key().kind() != StoreKind.POINTER)
                            .toList();
                }
            };
        }
    },
    /** A writer takes a lost answer to mean that nothing was written. */
    LOST_MEANS_NOT_WRITTEN("In force after a no") {
        @Override
        StoreProtocol accept(AcceptRequest request, int ringCapacity) {
            return new Forgetful(new AcceptProtocol(request, ringCapacity));
        }
    };

    private final String mSymptom;

    InjectedFault(String symptom) {
        mSymptom = symptom;
    }

    /** Returns what the oracle must say of it in some schedule. */
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

    private record Forgetful(AcceptProtocol accept) implements StoreProtocol {
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
        public StoreAction onSwap(SwapOutcome answer) {
            return accept.onSwap(answer == SwapOutcome.UNKNOWN ? SwapOutcome.NOT_WRITTEN : answer);
        }
    }
}
