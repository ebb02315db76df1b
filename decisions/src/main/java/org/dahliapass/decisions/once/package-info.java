/**
 * Decides for each guarded request whether it may be dispatched, so that one key runs at most once.
 */
package org.dahliapass.decisions.once;
