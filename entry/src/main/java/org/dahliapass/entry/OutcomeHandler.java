package org.dahliapass.entry;

import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.util.Optional;
import org.dahliapass.decisions.once.Operation;
import org.dahliapass.decisions.once.OperationAnswer;
import org.dahliapass.decisions.once.OperationKey;

/** Serves the outcomes of at-most-once operations. */
final class OutcomeHandler implements HttpService {
    private final RequestIdGenerator mIds;
    private final AtMostOnceService mOperations;
    private final TokenIssuer mTokenIssuer;

    OutcomeHandler(RequestIdGenerator ids, AtMostOnceService operations, TokenIssuer tokenIssuer) {
        mIds = ids;
        mOperations = operations;
        mTokenIssuer = tokenIssuer;
    }

    @Override
    public HttpResponse serve(ServiceRequestContext context, HttpRequest request) {
        String id = mIds.next();
        Optional<OperationKey> key = OperationKey.parse(context.pathParam("key"));
        if (key.isEmpty()) {
            return HttpResponse.of(
                    HttpStatus.BAD_REQUEST,
                    MediaType.PLAIN_TEXT_UTF_8,
                    "The path must end in a whole Idempotency-Key.\n");
        }
        Operation operation = new Operation(context.pathParam("customer"), key.get());
        return HttpResponse.of(
                mOperations.queryOutcome(operation).thenApply(answer -> toResponse(id, answer)));
    }

    private HttpResponse toResponse(String id, OperationAnswer answer) {
        if (answer instanceof OperationAnswer.Result result) {
            return AtMostOnceExchange.replayResponse(id, result.result());
        }
        return AtMostOnceExchange.refusal(answer, mTokenIssuer.issueForSelf()).toResponse(id);
    }
}
