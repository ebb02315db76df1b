/**
 * At-most-once execution of non-idempotent requests by their idempotency keys.
 *
 * <p>A key names its home, the only VM incarnation that dispatches it, and its witness, which must
 * acknowledge the intent before. {@link org.dahliapass.decisions.once.HomeLedger} and {@link
 * org.dahliapass.decisions.once.WitnessRegister} implement these roles; other VMs use {@link
 * org.dahliapass.decisions.once.Resolver}. The protocol is specified in {@code once.als}.
 *
 * <p>Requirements for adapters: a VM that receives a forwarded request and isn't the key's home
 * reports that and does not forward it again; senders' identities come from the connection and not
 * from the message; no library retries a dispatch; a query of a key counts as a request, because
 * the answer "not run" is recorded before it is sent.
 */
package org.dahliapass.decisions.once;
