package org.dahliapass.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.dahliapass.decisions.once.IntentReply;
import org.dahliapass.decisions.once.NotRunReason;
import org.dahliapass.decisions.once.Operation;
import org.dahliapass.decisions.once.OperationAnswer;
import org.dahliapass.decisions.once.OutcomeNotice;
import org.dahliapass.decisions.once.RecordedBody;
import org.dahliapass.decisions.once.RecordedHeader;
import org.dahliapass.decisions.once.RecordedResult;
import org.dahliapass.decisions.once.UnknownReason;
import org.dahliapass.wire.message.IntentStatus;
import org.dahliapass.wire.message.ResolveKeyReply;
import org.testng.annotations.Test;

/** Tests for {@link AtMostOnceCodec}. */
public final class AtMostOnceCodecTest {
    private static final Operation OPERATION =
            AtMostOnceCodec.operation("himal", "vm-1~a.vm-2~b.mn3k5a7q.op-1").orElseThrow();
    private static final RecordedResult RESULT =
            new RecordedResult(
                    201,
                    List.of(new RecordedHeader("content-type", "text/plain")),
                    Optional.of(RecordedBody.copyOf("done".getBytes(StandardCharsets.UTF_8))));

    private static OperationAnswer roundTrip(OperationAnswer answer) {
        return AtMostOnceCodec.decode(AtMostOnceCodec.encode(answer));
    }

    @Test
    public void resultRoundTripsWithStatusHeadersAndBody() {
        OperationAnswer answer = new OperationAnswer.Result(RESULT);
        assertEquals(roundTrip(answer), answer);
    }

    @Test
    public void missingBodyDiffersFromEmptyBody() {
        RecordedResult without = new RecordedResult(200, List.of(), Optional.empty());
        RecordedResult empty =
                new RecordedResult(200, List.of(), Optional.of(RecordedBody.copyOf(new byte[0])));
        OperationAnswer answer = new OperationAnswer.Result(without);
        assertEquals(roundTrip(answer), answer);
        assertEquals(
                roundTrip(new OperationAnswer.Result(empty)), new OperationAnswer.Result(empty));
    }

    @Test
    public void notRunRoundTripsWithReason() {
        for (NotRunReason reason : NotRunReason.values()) {
            OperationAnswer answer = new OperationAnswer.NotRun(reason);
            assertEquals(roundTrip(answer), answer);
        }
    }

    @Test
    public void intentRepliesRoundTrip() {
        for (IntentReply reply : IntentReply.values()) {
            assertEquals(AtMostOnceCodec.decode(AtMostOnceCodec.encode(reply)), reply);
        }
    }

    // An unknown value from a newer release must not permit a dispatch or be read as "not run".
    @Test
    public void unknownValuesAreDecodedConservatively() {
        assertEquals(AtMostOnceCodec.decode(IntentStatus.UNRECOGNIZED), IntentReply.REFUSED);
        ResolveKeyReply newer = ResolveKeyReply.newBuilder().setAnswerValue(99).build();
        assertEquals(
                AtMostOnceCodec.decode(newer), new OperationAnswer.Unknown(UnknownReason.NO_WORD));
    }

    @Test
    public void outcomesRoundTripAndMalformedKeysAreRejected() {
        OutcomeNotice ran = new OutcomeNotice(OPERATION, Optional.of(RESULT));
        OutcomeNotice abandoned = new OutcomeNotice(OPERATION, Optional.empty());
        assertEquals(AtMostOnceCodec.decode(AtMostOnceCodec.outcome(ran)), Optional.of(ran));
        assertEquals(
                AtMostOnceCodec.decode(AtMostOnceCodec.outcome(abandoned)), Optional.of(abandoned));
        assertTrue(AtMostOnceCodec.operation("himal", "no key").isEmpty());
    }
}
