package org.dahliapass.entry;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Clock;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.dahliapass.decisions.health.TargetStatus;
import org.dahliapass.kernel.ControlLoop;
import org.dahliapass.model.ServiceTemplate;
import org.dahliapass.model.Vm;
import org.dahliapass.model.burn.ErrorBudgetSnapshot;
import org.dahliapass.model.burn.OutcomeHistory;
import org.dahliapass.model.explain.Explanation;
import org.dahliapass.traffic.ServiceRuntime;

/** Builds the JSON responses of the operator server. */
final class OperatorResponses {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Clock mClock;
    private final ControlLoop mLoop;
    private final FleetService mFleet;
    private final Readiness mReadiness;
    private final ConfigurationService mConfiguration;
    private final ServiceTable mServices;
    private final AtMostOnceService mOperations;
    private final ExplanationLog mExplanations;
    private final RefusalLog mRefusals;
    private final OutcomeHistory mOutcomes;
    private final long mStartedMillis;

    OperatorResponses(
            Clock clock,
            ControlLoop loop,
            FleetService fleet,
            Readiness readiness,
            ConfigurationService configuration,
            ServiceTable services,
            AtMostOnceService operations,
            ExplanationLog explanations,
            RefusalLog refusals,
            OutcomeHistory outcomes) {
        mClock = clock;
        mLoop = loop;
        mFleet = fleet;
        mReadiness = readiness;
        mConfiguration = configuration;
        mServices = services;
        mOperations = operations;
        mExplanations = explanations;
        mRefusals = refusals;
        mOutcomes = outcomes;
        mStartedMillis = clock.millis();
    }

    /** Returns the status of this VM. */
    CompletableFuture<String> status() {
        return mOperations
                .recordCounts()
                .thenApply(
                        sizes -> {
                            ObjectNode root = MAPPER.createObjectNode();
                            Vm self = mFleet.view().self();
                            root.put("vm", self.identity().toString());
                            root.put("availabilityZone", self.availabilityZone());
                            root.put("state", toJsonName(mReadiness.state().name()));
                            root.put("sinceMillis", mStartedMillis);
                            root.put("configurationNumber", mConfiguration.headNumber());
                            root.put("members", mFleet.view().all().size());
                            root.put("keysAsHome", sizes[0]);
                            root.put("keysAsWitness", sizes[1]);
                            ArrayNode services = root.putArray("services");
                            for (ServiceRuntime runtime : mServices.runtimes()) {
                                ObjectNode service = services.addObject();
                                service.put("service", runtime.id().toString());
                                service.put("waiting", runtime.queueLength());
                            }
                            return root.toString();
                        });
    }

    /** Returns the fleet in this VM's view. */
    String members() {
        ArrayNode root = MAPPER.createArrayNode();
        for (FleetMember member : mFleet.view().all()) {
            ObjectNode node = root.addObject();
            node.put("name", member.vm().identity().name());
            node.put(
                    "incarnation",
                    Long.toString(member.vm().identity().incarnation(), Character.MAX_RADIX));
            node.put("availabilityZone", member.vm().availabilityZone());
            node.put("callers", member.vm().callerEndpoint().toString());
            node.put("operators", member.operatorEndpoint().toString());
            node.put("state", member.state());
        }
        return root.toString();
    }

    /** Returns the revision of a customer's template in force, or empty if there is none. */
    Optional<String> template(String customer) {
        return mConfiguration
                .activeRevision(customer)
                .map(
                        revision -> {
                            ObjectNode node = MAPPER.createObjectNode();
                            node.put("customer", customer);
                            node.put("number", revision.number());
                            node.put("digest", revision.digest());
                            return node.toString();
                        });
    }

    /** Returns the number up to which all changes are known to this VM. */
    String headNumber() {
        return MAPPER.createObjectNode().put("headNumber", mConfiguration.headNumber()).toString();
    }

    /** Returns the status of the targets of all services that this VM serves. */
    CompletableFuture<String> targets() {
        return mLoop.submit(
                () -> {
                    ArrayNode root = MAPPER.createArrayNode();
                    for (ServiceTemplate template : mServices.servedTemplates()) {
                        for (TargetStatus status : mServices.statuses(template.id())) {
                            ObjectNode node = root.addObject();
                            node.put("service", template.id().toString());
                            node.put("target", status.target().endpoint().toString());
                            node.put("state", toJsonName(status.state().name()));
                            node.put("weight", status.weight());
                        }
                    }
                    return root.toString();
                });
    }

    /** Returns the explanations that match, or the refusal if the query names a request. */
    String explanations(ExplanationQuery query) {
        ArrayNode root = MAPPER.createArrayNode();
        String vm = mFleet.view().self().identity().toString();
        if (query.request() != null) {
            mRefusals.find(query.request()).ifPresent(entry -> addRefusal(root, vm, entry));
            return root.toString();
        }
        mExplanations
                .find(
                        explanation ->
                                explanation.atMillis() >= query.sinceMillis()
                                        && query.matches(explanation.subject()))
                .forEach(explanation -> addExplanation(root, vm, explanation));
        return root.toString();
    }

    private static void addExplanation(ArrayNode root, String vm, Explanation explanation) {
        ObjectNode node = root.addObject();
        node.put("atMillis", explanation.atMillis());
        node.put("vm", vm);
        node.put("action", toJsonName(explanation.action().name()));
        node.put("subject", explanation.subject());
        node.put("cause", explanation.cause());
        node.put("evidence", explanation.evidence());
        node.put("setting", explanation.setting());
    }

    private static void addRefusal(ArrayNode root, String vm, RefusalLog.Entry entry) {
        ObjectNode node = root.addObject();
        node.put("atMillis", entry.atMillis());
        node.put("vm", vm);
        node.put("action", "refused");
        node.put("subject", entry.requestId() + " of " + entry.customer());
        node.put("cause", entry.refusal().message());
        node.put("evidence", toJsonName(entry.refusal().code().name()));
        node.put("setting", "");
    }

    /** Returns this VM's outcome counts for the error budget report. */
    String errorBudget(String customer) {
        long now = mClock.millis();
        ErrorBudgetSnapshot snapshot =
                new ErrorBudgetSnapshot(
                        mFleet.view().self().identity().toString(),
                        mStartedMillis,
                        now,
                        mOutcomes.uncounted(),
                        mOutcomes.buckets(now, name -> customer == null || name.equals(customer)));
        return MAPPER.valueToTree(snapshot).toString();
    }

    private static String toJsonName(String constant) {
        return constant.toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
