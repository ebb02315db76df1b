package org.dahliapass.lab.capacity;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dahliapass.decisions.once.HomeAction;
import org.dahliapass.decisions.once.HomeLedger;
import org.dahliapass.decisions.once.Operation;
import org.dahliapass.decisions.once.OperationKey;
import org.dahliapass.decisions.once.OperationToken;
import org.dahliapass.decisions.once.OutcomeNotice;
import org.dahliapass.decisions.once.RecordedBody;
import org.dahliapass.decisions.once.RecordedHeader;
import org.dahliapass.decisions.once.RecordedResult;
import org.dahliapass.decisions.once.RetentionWindow;
import org.dahliapass.decisions.once.TableLimits;
import org.dahliapass.decisions.once.WitnessRegister;
import org.dahliapass.model.VmIdentity;
import org.dahliapass.wire.message.Header;
import org.dahliapass.wire.message.IntentStatus;
import org.dahliapass.wire.message.PeerReply;
import org.dahliapass.wire.message.PeerRequest;
import org.dahliapass.wire.message.RecordIntent;
import org.dahliapass.wire.message.RecordIntentReply;
import org.dahliapass.wire.message.RecordOutcome;
import org.dahliapass.wire.message.RecordOutcomeReply;
import org.dahliapass.wire.message.RecordedAnswer;

/** Measures what guarded operations cost their home and witness. */
final class OnceMeasures implements Measures {
    /** Bytes of the answer's body in the sample. */
    static final int BODY_BYTES = 256;

    private static final int[] KEYS = {1_000, 4_000, 8_000};
    private static final int[] OPERATIONS = {50, 200, 800};
    private static final int[] BODIES = {0, 256, 4_096};
    private static final int ATTEMPTS = 3;
    private static final int CREATED = 201;
    private static final long HOUR_MILLIS = 3_600_000;
    private static final VmIdentity HOME = SampleFleet.identity(1);
    private static final VmIdentity WITNESS = SampleFleet.identity(2);
    private static final RetentionWindow WINDOW = new RetentionWindow(60_000, HOUR_MILLIS);

    /** Roomier than the product's limits, so that they don't cut the line short. */
    private static final TableLimits LIMITS =
            new TableLimits(1_000_000, 100_000, 1L << 40, 16 * 1024);

    /** Both sides of the sample's operations. */
    private record Pair(HomeLedger home, WitnessRegister witness) {
        static Pair create() {
            return new Pair(
                    new HomeLedger(HOME, ATTEMPTS, WINDOW, LIMITS),
                    new WitnessRegister(WITNESS, WINDOW, LIMITS));
        }
    }

    @Override
    public List<Slope> take(Probe probe) {
        List<Slope> slopes = new ArrayList<>();
        slopes.add(probe.heap(Quantity.HOME_HEAP, KEYS, keys -> filled(keys).home()));
        slopes.add(probe.heap(Quantity.WITNESS_HEAP, KEYS, keys -> filled(keys).witness()));
        slopes.add(probe.time(Quantity.GUARDED_TIME, OPERATIONS, 1, OnceMeasures::operations));
        slopes.add(Probe.exact(Quantity.GUARDED_BYTES, BODIES, OnceMeasures::messages));
        return slopes;
    }

    private static Pair filled(int keys) {
        Pair pair = Pair.create();
        for (int key = 0; key < keys; key++) {
            run(pair, key, key);
        }
        return pair;
    }

    private static Runnable operations(int count) {
        Pair pair = Pair.create();
        long[] next = {0};
        return () -> {
            for (int i = 0; i < count; i++) {
                next[0]++;
                run(pair, next[0], HOUR_MILLIS / 1_000 * next[0]);
            }
        };
    }

    /** Runs one operation; each side reads its own copy of the key, as off the wire. */
    private static void run(Pair pair, long number, long nowMillis) {
        Operation home = operation(number, nowMillis);
        Operation witness = operation(number, nowMillis);
        pair.home().begin(home, digest(number), nowMillis + 30_000, nowMillis);
        HomeAction dispatch =
                pair.home()
                        .witnessReplied(
                                home,
                                pair.witness().recordIntent(HOME, witness, nowMillis),
                                nowMillis);
        if (!(dispatch instanceof HomeAction.Dispatch)) {
            throw new IllegalStateException("The sample operation was not dispatched.");
        }
        pair.home().finished(home, 1, result(BODY_BYTES), nowMillis);
        OutcomeNotice notice = new OutcomeNotice(witness, Optional.of(result(BODY_BYTES)));
        pair.witness().recordOutcome(HOME, notice, nowMillis);
    }

    private static Operation operation(long number, long bornMillis) {
        OperationToken token = new OperationToken(HOME, WITNESS, bornMillis);
        String text = new OperationKey(token, "sign-off-" + (1_000_000 + number)).toString();
        OperationKey key = OperationKey.parse(text).orElseThrow();
        return new Operation("customer-" + number % 300, key);
    }

    private static String digest(long number) {
        return "0123456789abcdef01234567" + (10_000_000 + number);
    }

    private static RecordedResult result(int bodyBytes) {
        List<RecordedHeader> headers = new ArrayList<>();
        headers.add(new RecordedHeader("content-type", "application/json; charset=utf-8"));
        headers.add(new RecordedHeader("location", "/sign-offs/4711"));
        return new RecordedResult(
                CREATED, headers, Optional.of(RecordedBody.copyOf(new byte[bodyBytes])));
    }

    /** Intent, its reply, outcome and its reply, written field by field as the entry VM does. */
    private static double messages(double bodyBytes) {
        Operation operation = operation(1, HOUR_MILLIS);
        String key = operation.key().toString();
        RecordIntent.Builder intent =
                RecordIntent.newBuilder().setCustomer(operation.customer()).setKey(key);
        RecordOutcome.Builder outcome =
                RecordOutcome.newBuilder()
                        .setCustomer(operation.customer())
                        .setKey(key)
                        .setAnswer(answer(result((int) bodyBytes)));
        RecordIntentReply.Builder accepted =
                RecordIntentReply.newBuilder().setStatus(IntentStatus.INTENT_ACCEPTED);
        return Envelope.bytes(HOME, PeerRequest.newBuilder().setRecordIntent(intent))
                + Envelope.bytes(PeerReply.newBuilder().setRecordIntent(accepted))
                + Envelope.bytes(HOME, PeerRequest.newBuilder().setRecordOutcome(outcome))
                + Envelope.bytes(
                        PeerReply.newBuilder()
                                .setRecordOutcome(RecordOutcomeReply.getDefaultInstance()));
    }

    private static RecordedAnswer answer(RecordedResult result) {
        RecordedAnswer.Builder answer = RecordedAnswer.newBuilder().setStatus(result.status());
        for (RecordedHeader header : result.headers()) {
            answer.addHeaders(Header.newBuilder().setName(header.name()).setValue(header.value()));
        }
        result.body().ifPresent(body -> answer.setBody(ByteString.copyFrom(body.toByteArray())));
        return answer.build();
    }
}
