package org.dahliapass.entry;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import org.dahliapass.decisions.once.IntentReply;
import org.dahliapass.decisions.once.NotRunReason;
import org.dahliapass.decisions.once.Operation;
import org.dahliapass.decisions.once.OperationAnswer;
import org.dahliapass.decisions.once.OperationKey;
import org.dahliapass.decisions.once.OutcomeNotice;
import org.dahliapass.decisions.once.RecordedBody;
import org.dahliapass.decisions.once.RecordedHeader;
import org.dahliapass.decisions.once.RecordedResult;
import org.dahliapass.decisions.once.UnknownReason;
import org.dahliapass.wire.message.Header;
import org.dahliapass.wire.message.IntentStatus;
import org.dahliapass.wire.message.KeyAnswer;
import org.dahliapass.wire.message.RecordIntent;
import org.dahliapass.wire.message.RecordOutcome;
import org.dahliapass.wire.message.RecordedAnswer;
import org.dahliapass.wire.message.ResolveKey;
import org.dahliapass.wire.message.ResolveKeyReply;

/**
 * Converts between the records of at-most-once operations and the messages between VMs.
 *
 * <p>Unknown values from a newer release are decoded conservatively: an intent is not accepted, an
 * outcome is unknown.
 */
final class AtMostOnceCodec {
    private AtMostOnceCodec() {}

    static RecordIntent intent(Operation operation) {
        return RecordIntent.newBuilder()
                .setCustomer(operation.customer())
                .setKey(operation.key().toString())
                .build();
    }

    static ResolveKey resolve(Operation operation) {
        return ResolveKey.newBuilder()
                .setCustomer(operation.customer())
                .setKey(operation.key().toString())
                .build();
    }

    static RecordOutcome outcome(OutcomeNotice notice) {
        RecordOutcome.Builder message =
                RecordOutcome.newBuilder()
                        .setCustomer(notice.operation().customer())
                        .setKey(notice.operation().key().toString());
        notice.result().ifPresent(result -> message.setAnswer(encode(result)));
        return message.build();
    }

    /** Parses an operation; empty if the key is malformed. */
    static Optional<Operation> operation(String customer, String key) {
        return OperationKey.parse(key).map(parsed -> new Operation(customer, parsed));
    }

    static Optional<OutcomeNotice> decode(RecordOutcome message) {
        Optional<RecordedResult> result =
                message.hasAnswer() ? Optional.of(decode(message.getAnswer())) : Optional.empty();
        return operation(message.getCustomer(), message.getKey())
                .map(operation -> new OutcomeNotice(operation, result));
    }

    static IntentStatus encode(IntentReply reply) {
        return switch (reply) {
            case ACCEPTED -> IntentStatus.INTENT_ACCEPTED;
            case REFUSED -> IntentStatus.INTENT_REFUSED;
            case WRONG_INCARNATION -> IntentStatus.INTENT_WRONG_INCARNATION;
            case EXPIRED -> IntentStatus.INTENT_EXPIRED;
            case FULL -> IntentStatus.INTENT_FULL;
        };
    }

    static IntentReply decode(IntentStatus status) {
        return switch (status) {
            case INTENT_ACCEPTED -> IntentReply.ACCEPTED;
            case INTENT_WRONG_INCARNATION -> IntentReply.WRONG_INCARNATION;
            case INTENT_EXPIRED -> IntentReply.EXPIRED;
            case INTENT_FULL -> IntentReply.FULL;
            case INTENT_REFUSED, INTENT_STATUS_UNSPECIFIED, UNRECOGNIZED -> IntentReply.REFUSED;
        };
    }

    static ResolveKeyReply encode(OperationAnswer answer) {
        ResolveKeyReply.Builder reply = ResolveKeyReply.newBuilder();
        if (answer instanceof OperationAnswer.Result result) {
            return reply.setAnswer(KeyAnswer.KEY_RESULT).setResult(encode(result.result())).build();
        }
        if (answer instanceof OperationAnswer.InProgress) {
            return reply.setAnswer(KeyAnswer.KEY_IN_PROGRESS).build();
        }
        if (answer instanceof OperationAnswer.NotRun notRun) {
            return reply.setAnswer(KeyAnswer.KEY_NOT_RUN).setReason(notRun.reason().name()).build();
        }
        if (answer instanceof OperationAnswer.Mismatch) {
            return reply.setAnswer(KeyAnswer.KEY_MISMATCH).build();
        }
        OperationAnswer.Unknown unknown = (OperationAnswer.Unknown) answer;
        return reply.setAnswer(KeyAnswer.KEY_UNKNOWN).setReason(unknown.reason().name()).build();
    }

    static OperationAnswer decode(ResolveKeyReply reply) {
        return switch (reply.getAnswer()) {
            case KEY_RESULT -> new OperationAnswer.Result(decode(reply.getResult()));
            case KEY_IN_PROGRESS -> new OperationAnswer.InProgress();
            case KEY_NOT_RUN -> new OperationAnswer.NotRun(notRunReason(reply.getReason()));
            case KEY_MISMATCH -> new OperationAnswer.Mismatch();
            case KEY_UNKNOWN, KEY_ANSWER_UNSPECIFIED, UNRECOGNIZED ->
                    new OperationAnswer.Unknown(UnknownReason.NO_WORD);
        };
    }

    private static NotRunReason notRunReason(String name) {
        for (NotRunReason reason : NotRunReason.values()) {
            if (reason.name().equals(name)) {
                return reason;
            }
        }
        return NotRunReason.ABANDONED;
    }

    private static RecordedAnswer encode(RecordedResult result) {
        RecordedAnswer.Builder answer = RecordedAnswer.newBuilder().setStatus(result.status());
        for (RecordedHeader header : result.headers()) {
            answer.addHeaders(Header.newBuilder().setName(header.name()).setValue(header.value()));
        }
        result.body().ifPresent(body -> answer.setBody(ByteString.copyFrom(body.toByteArray())));
        return answer.build();
    }

    private static RecordedResult decode(RecordedAnswer answer) {
        List<RecordedHeader> headers =
                answer.getHeadersList().stream()
                        .map(header -> new RecordedHeader(header.getName(), header.getValue()))
                        .toList();
        Optional<RecordedBody> body =
                answer.hasBody()
                        ? Optional.of(RecordedBody.copyOf(answer.getBody().toByteArray()))
                        : Optional.empty();
        return new RecordedResult(answer.getStatus(), headers, body);
    }
}
