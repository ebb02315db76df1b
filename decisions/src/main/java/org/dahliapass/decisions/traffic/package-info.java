/** Who serves a request, who waits, who is refused, and what is tried again: all pure decisions. */
package org.dahliapass.decisions.traffic;
