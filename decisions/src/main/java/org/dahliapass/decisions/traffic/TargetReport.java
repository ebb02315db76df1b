package org.dahliapass.decisions.traffic;

import java.util.OptionalLong;
import org.dahliapass.model.Endpoint;

/**
 * What one VM's newest work at a target showed.
 *
 * @param target the target
 * @param inFlight the VM's requests in flight there
 * @param silenceRatio how many times as likely their silence is at a target that hangs as at a
 *     sound one
 * @param lastAnsweredMillis when the newest work that was answered had been sent, in milliseconds;
 *     empty if there is none
 */
public record TargetReport(
        Endpoint target, int inFlight, double silenceRatio, OptionalLong lastAnsweredMillis) {}
