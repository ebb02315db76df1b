package org.dahliapass.report;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.linecorp.armeria.client.ResponseTimeoutException;
import com.linecorp.armeria.client.UnprocessedRequestException;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.dahliapass.kernel.OperationException;
import org.dahliapass.model.burn.ErrorBudgetSnapshot;

/** Asks all VMs of the fleet for what they know of the burn, a bounded number at once. */
final class BurnCollector {
    private static final int MAX_CONCURRENT_REQUESTS = 64;
    private static final long MAX_RESPONSE_BYTES = 64L << 20;
    private static final ObjectMapper JSON =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private final WebClient mClient;
    private final Optional<String> mCustomer;

    /**
     * Creates a collector.
     *
     * @param timeout how long each VM may take
     * @param customer the only customer to report on; empty for all
     */
    BurnCollector(Duration timeout, Optional<String> customer) {
        mClient =
                WebClient.builder()
                        .responseTimeout(timeout)
                        .maxResponseLength(MAX_RESPONSE_BYTES)
                        .build();
        mCustomer = customer;
    }

    /**
     * Collects from the fleet.
     *
     * @param contacts operators' addresses of some VMs; the lists of all that answer are joined, so
     *     that both sides of a partition are found if each has a contact
     * @return completes when every VM has answered or failed; never fails for a VM's sake
     */
    CompletableFuture<BurnAggregator> collect(List<String> contacts) {
        BurnAggregator burn =
                new BurnAggregator(name -> mCustomer.isEmpty() || name.equals(mCustomer.get()));
        Map<String, Member> members = new TreeMap<>();
        List<UnresponsiveVm> silentContacts = new ArrayList<>();
        CompletableFuture<Void> lists =
                runConcurrently(contacts, contact -> readMembers(contact, members, silentContacts));
        return lists.thenCompose(
                        ignored -> {
                            addUnlistedContacts(silentContacts, members.values(), burn);
                            List<Member> asked =
                                    members.values().stream().filter(Member::isQueryable).toList();
                            return runConcurrently(asked, member -> readBurn(member, burn));
                        })
                .thenApply(ignored -> burn);
    }

    /** Notes contacts that were silent and aren't asked again as a member of a list. */
    private static void addUnlistedContacts(
            List<UnresponsiveVm> contacts, Collection<Member> members, BurnAggregator burn) {
        contacts.stream()
                .filter(
                        contact ->
                                members.stream()
                                        .filter(Member::isQueryable)
                                        .noneMatch(
                                                member ->
                                                        contact.operators()
                                                                .equals(member.operators())))
                .forEach(burn::addUnresponsive);
    }

    private CompletableFuture<Void> readMembers(
            String contact, Map<String, Member> members, List<UnresponsiveVm> silent) {
        return get("read members", contact, "/operations/members", Member[].class)
                .handle(
                        (list, failure) -> {
                            if (failure != null) {
                                synchronized (members) {
                                    silent.add(
                                            new UnresponsiveVm(
                                                    contact, contact, reasonOf(failure)));
                                }
                                return null;
                            }
                            synchronized (members) {
                                Arrays.stream(list)
                                        .filter(Member::hasNameAndAddress)
                                        .forEach(m -> members.merge(m.name(), m, Member::newer));
                            }
                            return null;
                        });
    }

    private CompletableFuture<Void> readBurn(Member member, BurnAggregator burn) {
        String path = "/operations/burn" + mCustomer.map(name -> "?customer=" + name).orElse("");
        return get("read burn", member.operators(), path, ErrorBudgetSnapshot.class)
                .handle(
                        (snapshot, failure) -> {
                            if (failure == null) {
                                burn.add(snapshot);
                            } else {
                                burn.addUnresponsive(
                                        new UnresponsiveVm(
                                                member.name(),
                                                member.operators(),
                                                reasonOf(failure)));
                            }
                            return null;
                        });
    }

    /** Asks one VM; an address that is no address fails the future like a VM that is away. */
    private <T> CompletableFuture<T> get(String step, String peer, String path, Class<T> type) {
        return CompletableFuture.completedFuture("http://" + peer + path)
                .thenCompose(address -> mClient.get(address).aggregate())
                .thenApply(response -> parse(step, peer, response, type));
    }

    private static <T> T parse(
            String step, String peer, AggregatedHttpResponse response, Class<T> type) {
        if (!response.status().equals(HttpStatus.OK)) {
            throw new OperationException(step, peer, "it answered " + response.status());
        }
        try {
            return JSON.readValue(response.contentUtf8(), type);
        } catch (JsonProcessingException failure) {
            throw new OperationException(step, peer, "its answer isn't the JSON expected", failure);
        }
    }

    private static String reasonOf(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof OperationException step) {
            return step.getMessage();
        }
        if (cause instanceof ResponseTimeoutException) {
            return "no answer in time";
        }
        return cause instanceof UnprocessedRequestException
                ? "no connection"
                : "the connection broke";
    }

    /** Runs one step for each item, at most {@link #MAX_CONCURRENT_REQUESTS} at once. */
    private static <T> CompletableFuture<Void> runConcurrently(List<T> items, AsyncTask<T> step) {
        List<CompletableFuture<Void>> lanes = new ArrayList<>();
        for (int lane = 0; lane < Math.min(MAX_CONCURRENT_REQUESTS, items.size()); lane++) {
            CompletableFuture<Void> chain = CompletableFuture.completedFuture(null);
            for (int index = lane; index < items.size(); index += MAX_CONCURRENT_REQUESTS) {
                T item = items.get(index);
                chain = chain.thenCompose(ignored -> step.run(item));
            }
            lanes.add(chain);
        }
        return CompletableFuture.allOf(lanes.toArray(CompletableFuture<?>[]::new));
    }

    /** What is done for one item; its future never fails. */
    private interface AsyncTask<T> {
        CompletableFuture<Void> run(T item);
    }
}
