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

/** Measures guarded operations at their home and witness. */
final class GuardedOperationBenchmark implements Benchmark {
    /** Bytes of the sample response body. */
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

    /** Above the production limits, so that no sample operation is rejected. */
    private static final TableLimits LIMITS =
            new TableLimits(1_000_000, 100_000, 1L << 40, 16 * 1024);

    /** The home and the witness of the sample operations. */
    private record Pair(HomeLedger home, WitnessRegister witness) {
        static Pair create() {
            return new Pair(
                    new HomeLedger(HOME, ATTEMPTS, WINDOW, LIMITS),
                    new WitnessRegister(WITNESS, WINDOW, LIMITS));
        }
    }

    @Override
    public List<Measurement> run(ResourceMeter meter) {
        List<Measurement> measurements = new ArrayList<>();
        measurements.add(meter.measureHeap(Quantity.HOME_HEAP, KEYS, keys -> filled(keys).home()));
        measurements.add(
                meter.measureHeap(Quantity.WITNESS_HEAP, KEYS, keys -> filled(keys).witness()));
        measurements.add(
                meter.measureTime(
                        Quantity.GUARDED_TIME,
                        OPERATIONS,
                        1,
                        GuardedOperationBenchmark::operations));
        measurements.add(
                ResourceMeter.measureExact(
                        Quantity.GUARDED_BYTES, BODIES, GuardedOperationBenchmark::messages));
        return measurements;
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

    /** Runs one operation; home and witness parse their own copies of the key. */
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
            throw new IllegalStateException("The home didn't dispatch the sample operation.");
        }
        pair.home().finished(home, 1, result(BODY_BYTES), nowMillis);
        OutcomeNotice notice = new OutcomeNotice(witness, Optional.of(result(BODY_BYTES)));
        pair.witness().recordOutcome(HOME, notice, nowMillis);
    }

    private static Operation operation(long number, long createdMillis) {
        OperationToken token = new OperationToken(HOME, WITNESS, createdMillis);
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

    /**
     * Returns the bytes of the intent, the outcome and their replies, encoded like in the entry VM.
     */
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
