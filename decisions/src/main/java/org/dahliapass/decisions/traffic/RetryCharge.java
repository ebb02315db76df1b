package org.dahliapass.decisions.traffic;

/**
 * A charge to the retry budget of a service at one VM, for one attempt beyond a request's first,
 * with what the budget held before.
 *
 * @param reason why the budget was charged
 * @param allowance the retries that the VM may make beside the share of its requests
 * @param earned the retries that the requests of the last ten seconds have added
 * @param spent the retries of the last ten seconds
 * @param held the retries that are charged and not sent yet
 */
public record RetryCharge(
        ChargeReason reason, double allowance, double earned, int spent, int held) {}
