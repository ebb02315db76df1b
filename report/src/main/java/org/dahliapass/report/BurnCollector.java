package org.dahliapass.report;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.ClientFactoryOptions;
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
import org.dahliapass.http.ResponseValidation;
import org.dahliapass.kernel.OperationException;
import org.dahliapass.model.burn.ErrorBudgetSnapshot;

/** Collects error budget snapshots from all VMs of the fleet with bounded concurrency. */
final class BurnCollector {
    private static final int MAX_CONCURRENT_REQUESTS = 64;
    private static final long MAX_RESPONSE_BYTES = 64L << 20;
    private static final ObjectMapper JSON =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private static final ClientFactory CLIENT_FACTORY =
            ClientFactory.builder()
                    .option(
                            ClientFactoryOptions.CHANNEL_PIPELINE_CUSTOMIZER,
                            ResponseValidation::install)
                    .build();

    private final WebClient mClient;
    private final Optional<String> mCustomer;

    /**
     * Creates a collector.
     *
     * @param timeout the response timeout for each VM
     * @param customer the only customer to report on; empty for all customers
     */
    BurnCollector(Duration timeout, Optional<String> customer) {
        mClient =
                WebClient.builder()
                        .factory(CLIENT_FACTORY)
                        .responseTimeout(timeout)
                        .maxResponseLength(MAX_RESPONSE_BYTES)
                        .build();
        mCustomer = customer;
    }

    /**
     * Collects the snapshots of all VMs in the contacts' member lists.
     *
     * @param contacts operators' addresses of some VMs; their member lists are merged to cover both
     *     sides of a network partition
     * @return a future that completes when every VM has responded or failed; a failing VM does not
     *     fail it
     */
    CompletableFuture<BurnAggregator> collect(List<String> contacts) {
        BurnAggregator burn =
                new BurnAggregator(name -> mCustomer.isEmpty() || name.equals(mCustomer.get()));
        Map<String, Member> members = new TreeMap<>();
        List<UnresponsiveVm> unresponsiveContacts = new ArrayList<>();
        CompletableFuture<Void> lists =
                runConcurrently(
                        contacts, contact -> readMembers(contact, members, unresponsiveContacts));
        return lists.thenCompose(
                        ignored -> {
                            addUnlistedContacts(unresponsiveContacts, members.values(), burn);
                            List<Member> queried =
                                    members.values().stream().filter(Member::isQueryable).toList();
                            return runConcurrently(queried, member -> readBurn(member, burn));
                        })
                .thenApply(ignored -> burn);
    }

    /** Adds unresponsive contacts that are not queried as members of another list. */
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
            String contact, Map<String, Member> members, List<UnresponsiveVm> unresponsive) {
        return get("read members", contact, "/operations/members", Member[].class)
                .handle(
                        (list, failure) -> {
                            if (failure != null) {
                                synchronized (members) {
                                    unresponsive.add(
                                            new UnresponsiveVm(
                                                    contact, contact, reasonOf(failure)));
                                }
                                return null;
                            }
                            synchronized (members) {
                                Arrays.stream(list)
                                        .filter(Member::hasNameAndAddress)
                                        .forEach(
                                                member ->
                                                        members.merge(
                                                                member.name(),
                                                                member,
                                                                Member::newer));
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

    /** Queries one VM; an invalid address fails the future like an unreachable VM. */
    private <T> CompletableFuture<T> get(
            String operation, String address, String path, Class<T> type) {
        return CompletableFuture.completedFuture("h1c://" + address + path)
                .thenCompose(url -> mClient.get(url).aggregate())
                .thenApply(response -> parse(operation, address, response, type));
    }

    private static <T> T parse(
            String operation, String address, AggregatedHttpResponse response, Class<T> type) {
        if (!response.status().equals(HttpStatus.OK)) {
            throw new OperationException(
                    operation, address, "VM responded with status " + response.status());
        }
        try {
            return JSON.readValue(response.contentUtf8(), type);
        } catch (JsonProcessingException failure) {
            throw new OperationException(
                    operation, address, "response is not the expected JSON", failure);
        }
    }

    private static String reasonOf(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof OperationException exception) {
            return exception.getMessage();
        }
        if (cause instanceof ResponseTimeoutException) {
            return "response timed out";
        }
        return cause instanceof UnprocessedRequestException
                ? "could not connect"
                : "connection failed";
    }

    /** Runs a task for each item, at most {@link #MAX_CONCURRENT_REQUESTS} at once. */
    private static <T> CompletableFuture<Void> runConcurrently(List<T> items, AsyncTask<T> task) {
        List<CompletableFuture<Void>> chains = new ArrayList<>();
        for (int offset = 0; offset < Math.min(MAX_CONCURRENT_REQUESTS, items.size()); offset++) {
            CompletableFuture<Void> chain = CompletableFuture.completedFuture(null);
            for (int index = offset; index < items.size(); index += MAX_CONCURRENT_REQUESTS) {
                T item = items.get(index);
                chain = chain.thenCompose(ignored -> task.run(item));
            }
            chains.add(chain);
        }
        return CompletableFuture.allOf(chains.toArray(CompletableFuture<?>[]::new));
    }

    /** An asynchronous task for one item; its future never fails. */
    private interface AsyncTask<T> {
        CompletableFuture<Void> run(T item);
    }
}
