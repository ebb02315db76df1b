/** Recognizes requests that end each target that runs them, and keeps them from the others. */
package org.dahliapass.decisions.poison;
