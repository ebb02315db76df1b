/**
 * Discrete-event simulation that compares failure detection in production with simpler policies.
 */
package org.dahliapass.lab.policy;
