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

/** Answers callers who ask what became of a guarded operation. */
final class OutcomeHandler implements HttpService {
    private final RequestIds mIds;
    private final OnceService mOnce;
    private final Tokens mTokens;

    OutcomeHandler(RequestIds ids, OnceService once, Tokens tokens) {
        mIds = ids;
        mOnce = once;
        mTokens = tokens;
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
        return HttpResponse.of(mOnce.outcome(operation).thenApply(answer -> tell(id, answer)));
    }

    private HttpResponse tell(String id, OperationAnswer answer) {
        if (answer instanceof OperationAnswer.Result result) {
            return GuardedExchange.replayed(id, result.result());
        }
        return GuardedExchange.refusal(answer, mTokens.forSelf()).toResponse(id);
    }
}
