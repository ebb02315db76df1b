package org.dahliapass.lab.latency;

import java.util.concurrent.CompletableFuture;

/** Sends one request of a load. */
@FunctionalInterface
interface RequestSender {
    /** Sends a request; the future tells, once the whole answer is there, whether it is right. */
    CompletableFuture<Boolean> send();
}
