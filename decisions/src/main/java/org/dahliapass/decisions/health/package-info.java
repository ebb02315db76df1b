/** Outlier detection and ejection of targets, based on request outcomes observed by a cell. */
package org.dahliapass.decisions.health;
