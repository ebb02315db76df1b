package org.dahliapass.traffic;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.dahliapass.kernel.KernelService;

/**
 * The Prometheus metrics of one entry VM.
 *
 * <p>Exemplars are disabled: requests carry no trace, and sampling them needs a thread that wakes
 * up twice a second.
 */
public final class EntryMetrics implements KernelService {
    /** The name of this service in the kernel. */
    public static final String NAME = "metrics";

    private static final double MILLIS_PER_SECOND = 1000.0;

    private final PrometheusRegistry mRegistry = new PrometheusRegistry();
    private final Counter mResponses =
            Counter.builder()
                    .name("dahliapass_answers_total")
                    .help("Answers given to callers, by customer, service, kind and outcome.")
                    .labelNames("customer", "service", "kind", "outcome")
                    .withoutExemplars()
                    .register(mRegistry);
    private final Counter mAttempts =
            Counter.builder()
                    .name("dahliapass_tries_total")
                    .help("Tries at targets, by service and how they ended.")
                    .labelNames("service", "end")
                    .withoutExemplars()
                    .register(mRegistry);
    private final Counter mHedges =
            Counter.builder()
                    .name("dahliapass_hedges_total")
                    .help(
                            "Hedges, by reason: a target in doubt, or an attempt much older than"
                                    + " usual responses.")
                    .labelNames("reason")
                    .withoutExemplars()
                    .register(mRegistry);
    private final Counter mRetryCharges =
            Counter.builder()
                    .name("dahliapass_retry_charges_total")
                    .help(
                            "Charges to the retry budget, by service and event: charged, sent,"
                                    + " returned unsent, and missing for a request that was sent"
                                    + " once more without one.")
                    .labelNames("service", "event")
                    .withoutExemplars()
                    .register(mRegistry);
    private final Gauge mRetryAllowance =
            Gauge.builder()
                    .name("dahliapass_retry_allowance")
                    .help(
                            "The retries of a service that this VM may make beside the share of"
                                    + " its requests.")
                    .register(mRegistry);
    private final Counter mReplacedTargets =
            Counter.builder()
                    .name("dahliapass_replaced_targets_total")
                    .help(
                            "Targets that get no requests because this VM received a 421 of another"
                                    + " instance at their address.")
                    .withoutExemplars()
                    .register(mRegistry);
    private final Counter mStatedLimits =
            Counter.builder()
                    .name("dahliapass_stated_limits_total")
                    .help("Answers in which a target named a request limit, by service.")
                    .labelNames("service")
                    .withoutExemplars()
                    .register(mRegistry);
    private final Histogram mResponseHeadSeconds =
            Histogram.builder()
                    .name("dahliapass_target_head_seconds")
                    .help("Seconds from sending to the head of a target's answer.")
                    .labelNames("service", "kind")
                    .classicOnly()
                    .withoutExemplars()
                    .register(mRegistry);
    private final Histogram mDeliverySeconds =
            Histogram.builder()
                    .name("dahliapass_delivery_seconds")
                    .help("Seconds from an answer's first byte to its last one written.")
                    .classicOnly()
                    .withoutExemplars()
                    .register(mRegistry);
    private final Gauge mThreadDelaySeconds =
            Gauge.builder()
                    .name("dahliapass_thread_late_seconds")
                    .help("The most that a thread ran its tasks late in the last second.")
                    .labelNames("thread")
                    .register(mRegistry);
    private final Gauge mPollIntervalSeconds =
            Gauge.builder()
                    .name("dahliapass_poll_interval_seconds")
                    .help(
                            "The longest time in the last second in which the traffic thread"
                                    + " noticed no request and no close.")
                    .register(mRegistry);
    private final Counter mStoreCopyBytes =
            Counter.builder()
                    .name("dahliapass_copied_bytes_total")
                    .help("Bytes of the copy of the store handed to VMs that follow this one.")
                    .withoutExemplars()
                    .register(mRegistry);
    private final Counter mStoreCalls =
            Counter.builder()
                    .name("dahliapass_store_calls_total")
                    .help("Calls to the store, by kind; it charges each.")
                    .labelNames("call")
                    .withoutExemplars()
                    .register(mRegistry);
    private final Counter mPoisonEvents =
            Counter.builder()
                    .name("dahliapass_poison_requests_total")
                    .help(
                            "Targets that ended under a request, requests refused for it, and"
                                    + " changes of how requests are treated.")
                    .labelNames("event")
                    .withoutExemplars()
                    .register(mRegistry);
    private final Counter mTargetStatements =
            Counter.builder()
                    .name("dahliapass_target_statements_total")
                    .help(
                            "Responses in which a target says that it is leaving, asks for a rest,"
                                    + " or says either in a way that can't be read.")
                    .labelNames("service", "statement")
                    .withoutExemplars()
                    .register(mRegistry);
    private final Counter mAttemptsAgainstStatements =
            Counter.builder()
                    .name("dahliapass_attempts_against_statements_total")
                    .help(
                            "Attempts sent to targets that were known to be leaving or resting by"
                                    + " their own statements.")
                    .labelNames("service", "statement")
                    .withoutExemplars()
                    .register(mRegistry);
    private final Counter mContactFailures =
            Counter.builder()
                    .name("dahliapass_contact_failures_total")
                    .help(
                            "Attempts without a response of the target, by how they ended and"
                                    + " whether the connection was new or open.")
                    .labelNames("failure", "connection")
                    .withoutExemplars()
                    .register(mRegistry);
    private final Counter mRejections =
            Counter.builder()
                    .name("dahliapass_rejections_total")
                    .help("Requests that targets rejected without executing them, by cause.")
                    .labelNames("cause")
                    .withoutExemplars()
                    .register(mRegistry);
    private final Gauge mAcceptanceLowTargets =
            Gauge.builder()
                    .name("dahliapass_acceptance_low_targets")
                    .help("Targets that reject requests persistently with slots free, by service.")
                    .labelNames("service")
                    .register(mRegistry);
    private final Gauge mResponseTimeMedian =
            Gauge.builder()
                    .name("dahliapass_response_time_median_seconds")
                    .help("The learned median of the response times of targets, by service.")
                    .labelNames("service")
                    .register(mRegistry);
    private final Gauge mSlotsRecovered =
            Gauge.builder()
                    .name("dahliapass_slots_recovered")
                    .help("Attempts that are presumed lost and hold no slot, by service.")
                    .labelNames("service")
                    .register(mRegistry);
    private final Gauge mLostTargets =
            Gauge.builder()
                    .name("dahliapass_lost_targets")
                    .help("Targets whose latest attempt on this VM got no response.")
                    .register(mRegistry);
    private final Gauge mPartitioned =
            Gauge.builder()
                    .name("dahliapass_partitioned")
                    .help("1 while this VM reaches no target, else 0.")
                    .register(mRegistry);
    private final Counter mRelayedRequests =
            Counter.builder()
                    .name("dahliapass_relayed_requests_total")
                    .help(
                            "Requests sent to another VM because this one reaches no target, by"
                                    + " how that ended, and requests served for other VMs.")
                    .labelNames("event")
                    .withoutExemplars()
                    .register(mRegistry);
    private final Counter mRelayed =
            Counter.builder()
                    .name("dahliapass_relayed_total")
                    .help("Requests sent to another VM, by what this VM lacks to serve them.")
                    .labelNames("cause")
                    .withoutExemplars()
                    .register(mRegistry);
    private final Counter mPipelinedRequests =
            Counter.builder()
                    .name("dahliapass_pipelined_requests_total")
                    .help(
                            "Requests started while earlier ones of the same connection were"
                                    + " unanswered.")
                    .withoutExemplars()
                    .register(mRegistry);
    private final Gauge mPipelineDepthMax =
            Gauge.builder()
                    .name("dahliapass_pipeline_depth_max")
                    .help("The most requests of one connection unanswered at once since the start.")
                    .register(mRegistry);
    private final Counter mPipelinePauses =
            Counter.builder()
                    .name("dahliapass_pipeline_pauses_total")
                    .help(
                            "Times that a connection was no longer read because too much of its"
                                    + " requests waited.")
                    .withoutExemplars()
                    .register(mRegistry);
    private final Histogram mQueueWaitSeconds =
            Histogram.builder()
                    .name("dahliapass_queue_waits_seconds")
                    .help("Seconds from the arrival of a request to its slot, by priority.")
                    .labelNames("priority")
                    .classicOnly()
                    .withoutExemplars()
                    .register(mRegistry);
    private final Counter mDisplaced =
            Counter.builder()
                    .name("dahliapass_displaced_total")
                    .help(
                            "Waiting requests refused because one of a higher priority took their"
                                    + " place in a full queue.")
                    .withoutExemplars()
                    .register(mRegistry);
    private final Counter mCustomerReports =
            Counter.builder()
                    .name("dahliapass_customer_use_reports_total")
                    .help("Reports of other VMs on the requests that customers hold there.")
                    .withoutExemplars()
                    .register(mRegistry);
    private final Counter mYieldedSlots =
            Counter.builder()
                    .name("dahliapass_yielded_slots_total")
                    .help("Free slots left to other VMs where requests that come first wait.")
                    .withoutExemplars()
                    .register(mRegistry);
    private final Counter mUnexpectedFailures =
            Counter.builder()
                    .name("dahliapass_unexpected_failures_total")
                    .help(
                            "Unexpected exceptions, each of which ended one request, message or"
                                    + " run of a task, by what this VM was doing.")
                    .labelNames("step")
                    .withoutExemplars()
                    .register(mRegistry);
    private final Gauge mHeldBytes =
            Gauge.builder()
                    .name("dahliapass_held_bytes")
                    .help("Bytes that this VM holds for requests, by reason.")
                    .labelNames("reason")
                    .register(mRegistry);
    private final Counter mMemoryRefusals =
            Counter.builder()
                    .name("dahliapass_memory_refusals_total")
                    .help("Requests refused unread because this VM is short of memory.")
                    .withoutExemplars()
                    .register(mRegistry);
    private final Counter mSlowReadersClosed =
            Counter.builder()
                    .name("dahliapass_slow_readers_closed_total")
                    .help(
                            "Connections closed because their callers did not read a response"
                                    + " while this VM was short of memory.")
                    .withoutExemplars()
                    .register(mRegistry);
    private final Counter mActions =
            Counter.builder()
                    .name("dahliapass_actions_total")
                    .help("Automatic actions, by action.")
                    .labelNames("action")
                    .withoutExemplars()
                    .register(mRegistry);
    private final Gauge mConfigurationNumber =
            Gauge.builder()
                    .name("dahliapass_configuration_number")
                    .help("Number of the newest configuration change that this VM knows.")
                    .register(mRegistry);
    private final Gauge mStoreEpoch =
            Gauge.builder()
                    .name("dahliapass_store_epoch")
                    .help("How often the store was restored, as of this VM's state; -1 unknown.")
                    .register(mRegistry);
    private final Gauge mStoreRevision =
            Gauge.builder()
                    .name("dahliapass_store_revision")
                    .help("The store's revision up to which this VM knows all changes.")
                    .register(mRegistry);
    private final Gauge mMembers =
            Gauge.builder()
                    .name("dahliapass_members")
                    .help("VMs of the fleet that this VM knows, by state.")
                    .labelNames("state")
                    .register(mRegistry);

    /** Counts a response to a caller. */
    public void onAnswer(String customer, String service, String kind, String outcome) {
        mResponses.labelValues(customer, service, kind, outcome).inc();
    }

    /** Counts the end of an attempt at a target. */
    public void onAttempt(String service, String end) {
        mAttempts.labelValues(service, end).inc();
    }

    /** Counts a hedge. */
    public void onHedge(String reason) {
        mHedges.labelValues(reason).inc();
    }

    /** Counts an event of the charges to the retry budget. */
    public void onRetryCharge(String service, String event) {
        mRetryCharges.labelValues(service, event).inc();
    }

    /** Sets the retries that this VM may make beside the share of its requests. */
    public void onRetryAllowance(double retries) {
        mRetryAllowance.set(retries);
    }

    /** Counts a target that another instance has replaced. */
    public void onReplacedTarget() {
        mReplacedTargets.inc();
    }

    /** Counts a response in which a target names a request limit. */
    public void onLimitStated(String service) {
        mStatedLimits.labelValues(service).inc();
    }

    /** Counts a response in which a target says something of its availability. */
    public void onTargetStatement(String service, String statement) {
        mTargetStatements.labelValues(service, statement).inc();
    }

    /** Counts an attempt sent to a target that is known to be unavailable. */
    public void onAttemptAgainstStatement(String service, String statement) {
        mAttemptsAgainstStatements.labelValues(service, statement).inc();
    }

    /** Counts an attempt without a response. */
    public void onContactFailure(String failure, String connection) {
        mContactFailures.labelValues(failure, connection).inc();
    }

    /** Counts a request that a target rejected. */
    public void onRejection(String cause) {
        mRejections.labelValues(cause).inc();
    }

    /** Sets the number of targets of a service that shed requests persistently. */
    public void onAcceptanceLow(String service, int targets) {
        mAcceptanceLowTargets.labelValues(service).set(targets);
    }

    /** Sets the learned median of a service's response times, in milliseconds. */
    public void onResponseTimeMedian(String service, double millis) {
        mResponseTimeMedian.labelValues(service).set(millis / MILLIS_PER_SECOND);
    }

    /** Sets the number of a service's attempts that count as slots in use no longer. */
    public void onSlotsRecovered(String service, int slots) {
        mSlotsRecovered.labelValues(service).set(slots);
    }

    /** Sets the number of targets whose latest attempt got no response. */
    public void onLostTargets(int targets) {
        mLostTargets.set(targets);
    }

    /** Sets whether this VM reaches no target. */
    public void onPartitioned(boolean partitioned) {
        mPartitioned.set(partitioned ? 1 : 0);
    }

    /** Counts an event of the requests that VMs serve for each other. */
    public void onRelayed(String event) {
        mRelayedRequests.labelValues(event).inc();
    }

    /** Counts a request sent to another VM. */
    public void onRelayedFor(String cause) {
        mRelayed.labelValues(cause).inc();
    }

    /** Counts an event of the poison message detection. */
    public void onPoisonEvent(String event) {
        mPoisonEvents.labelValues(event).inc();
    }

    /** Records the time from sending a request to the head of its response, in milliseconds. */
    public void onResponseHead(String service, String kind, long latencyMillis) {
        mResponseHeadSeconds.labelValues(service, kind).observe(latencyMillis / MILLIS_PER_SECOND);
    }

    /** Records the time from the first to the last written byte of a response, in milliseconds. */
    public void onDelivered(long millis) {
        mDeliverySeconds.observe(millis / MILLIS_PER_SECOND);
    }

    /** Sets the maximum delay of a thread's tasks in the last second, in milliseconds. */
    public void onThreadDelay(String thread, long millis) {
        mThreadDelaySeconds.labelValues(thread).set(millis / MILLIS_PER_SECOND);
    }

    /** Sets the longest time between two polls in the last second, in milliseconds. */
    public void onPollInterval(long millis) {
        mPollIntervalSeconds.set(millis / MILLIS_PER_SECOND);
    }

    /** Counts bytes of the copy of the store sent to another VM. */
    public void onStoreCopyBytes(long bytes) {
        mStoreCopyBytes.inc((double) bytes);
    }

    /** Counts a call to the store. */
    public void onStoreCall(String call) {
        mStoreCalls.labelValues(call).inc();
    }

    /**
     * Counts a request that was started while earlier ones of its connection were unanswered;
     * called by one thread only.
     *
     * @param depth the number of unanswered requests of the connection, with this one
     */
    public void onPipelinedRequest(int depth) {
        mPipelinedRequests.inc();
        mPipelineDepthMax.set(Math.max(mPipelineDepthMax.get(), depth));
    }

    /** Counts that a connection is no longer read because too much of its requests waits. */
    public void onPipelinePause() {
        mPipelinePauses.inc();
    }

    /**
     * Records the time that a request waited for its slot.
     *
     * @param level the level of its priority; 0 is the highest
     * @param millis the time in milliseconds
     */
    public void onQueueWait(int level, long millis) {
        mQueueWaitSeconds.labelValues(Integer.toString(level)).observe(millis / MILLIS_PER_SECOND);
    }

    /** Counts waiting requests that one of a higher priority displaced. */
    public void onDisplaced(int requests) {
        mDisplaced.inc(requests);
    }

    /** Counts a report of another VM on what customers hold. */
    public void onCustomerReport() {
        mCustomerReports.inc();
    }

    /** Counts free slots that were left to other VMs. */
    public void onYielded(int slots) {
        mYieldedSlots.inc(slots);
    }

    /** Counts an unexpected exception. */
    public void onUnexpectedFailure(String step) {
        mUnexpectedFailures.labelValues(step).inc();
    }

    /** Sets the bytes held for a reason. */
    public void onHeldBytes(String reason, long bytes) {
        mHeldBytes.labelValues(reason).set((double) bytes);
    }

    /** Counts a request refused because memory is short. */
    public void onMemoryRefusal() {
        mMemoryRefusals.inc();
    }

    /** Counts a connection closed because its caller did not read. */
    public void onSlowReaderClosed() {
        mSlowReadersClosed.inc();
    }

    /** Counts an automatic action. */
    public void onAction(String action) {
        mActions.labelValues(action).inc();
    }

    /** Sets the number of the newest configuration change. */
    public void onConfigurationNumber(long number) {
        mConfigurationNumber.set((double) number);
    }

    /** Sets the position in the store's history up to which this VM knows all changes. */
    public void onStoreRevision(long epoch, long number) {
        mStoreEpoch.set((double) epoch);
        mStoreRevision.set((double) number);
    }

    /** Sets the number of members in a state. */
    public void onMemberCount(String state, int count) {
        mMembers.labelValues(state).set(count);
    }

    /** Returns all metrics in the Prometheus text format. */
    public byte[] scrape() {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(output, mRegistry.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return output.toByteArray();
    }
}
