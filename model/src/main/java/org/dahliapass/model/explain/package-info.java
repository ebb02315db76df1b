/** Explanations of the automatic actions of the fleet. */
package org.dahliapass.model.explain;
