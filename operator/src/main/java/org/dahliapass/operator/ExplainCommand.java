package org.dahliapass.operator;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.dahliapass.kernel.ExitCode;
import org.dahliapass.kernel.OperationException;

/** Collects explanations from all VMs and prints them in order of time. */
final class ExplainCommand {
    private static final Pattern AGE = Pattern.compile("(\\d{1,6})([smh])");

    private final Invocation mInvocation;

    ExplainCommand(Invocation invocation) {
        mInvocation = invocation;
    }

    ExitCode run() throws InterruptedException {
        ExplanationQuery query =
                new ExplanationQuery(
                        mInvocation.option("target"),
                        mInvocation.option("request"),
                        mInvocation.option("customer"),
                        mInvocation.option("since").map(this::sinceMillis));
        VmClient vms = mInvocation.environment().vms();
        List<Member> members = Invocation.await(vms.members(mInvocation.requiredEndpoint("vm")));
        Map<Member, CompletableFuture<List<Explanation>>> responses = new LinkedHashMap<>();
        for (Member member : members) {
            responses.put(member, vms.explanations(member.operators(), query));
        }
        return print(responses);
    }

    private ExitCode print(Map<Member, CompletableFuture<List<Explanation>>> responses)
            throws InterruptedException {
        List<Explanation> explanations = new ArrayList<>();
        List<String> unresponsive = new ArrayList<>();
        for (Map.Entry<Member, CompletableFuture<List<Explanation>>> response :
                responses.entrySet()) {
            try {
                explanations.addAll(Invocation.await(response.getValue()));
            } catch (OperationException failure) {
                unresponsive.add(response.getKey().name());
            }
        }
        explanations.sort(
                Comparator.comparingLong(Explanation::atMillis).thenComparing(Explanation::vm));
        explanations.forEach(explanation -> mInvocation.print(explanation.describe()));
        if (unresponsive.isEmpty()) {
            return ExitCode.OK;
        }
        mInvocation.warn("No response from: " + String.join(", ", unresponsive) + ".");
        return ExitCode.FAILED;
    }

    private long sinceMillis(String age) {
        Matcher matcher = AGE.matcher(age);
        if (!matcher.matches()) {
            throw new UsageException(
                    "--since is '" + age + "'; expected an age such as 30s, 10m or 2h.");
        }
        long amount = Long.parseLong(matcher.group(1));
        Duration ago =
                switch (matcher.group(2)) {
                    case "s" -> Duration.ofSeconds(amount);
                    case "m" -> Duration.ofMinutes(amount);
                    default -> Duration.ofHours(amount);
                };
        return mInvocation.environment().clock().instant().minus(ago).toEpochMilli();
    }
}
