/** The authentication of callers by the keys of customers. */
package org.dahliapass.decisions.access;
