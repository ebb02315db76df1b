package org.dahliapass.decisions.traffic;

import java.util.OptionalLong;
import org.dahliapass.model.Endpoint;

/**
 * One VM's report on a target in a periodic update.
 *
 * @param target the target
 * @param inFlight the VM's requests in flight to the target
 * @param silenceRatio the likelihood ratio of their missing responses at a failing and at a healthy
 *     target
 * @param lastAnsweredMillis when the latest request with a response was sent, in milliseconds;
 *     empty if there is none
 */
public record TargetReport(
        Endpoint target, int inFlight, double silenceRatio, OptionalLong lastAnsweredMillis) {}
