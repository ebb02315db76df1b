/**
 * Decides for each guarded request whether it may be dispatched, so that one key runs at most once.
 *
 * <p>A key names its home, the only VM incarnation that dispatches it, and its witness, which must
 * have acknowledged the intent before. {@link org.dahliapass.decisions.once.HomeLedger} and {@link
 * org.dahliapass.decisions.once.WitnessRegister} hold these two parts; any other VM goes by {@link
 * org.dahliapass.decisions.once.Resolver}. The protocol is specified in {@code once.als}.
 *
 * <p>What the adapters around it must keep to: a VM that gets a forwarded request and isn't the
 * key's home says so and does not forward it again; senders' identities come from the connection
 * and not from the message; a dispatch is never retried by a library; and a question for a key
 * counts like a request, since the answer "not run" is written down before it is given.
 */
package org.dahliapass.decisions.once;
