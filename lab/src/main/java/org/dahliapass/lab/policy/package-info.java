/** Measures the production decisions against plainer ones, on a virtual clock. */
package org.dahliapass.lab.policy;
