/** Decides which targets a VM uses, from real work seen by the whole cell. */
package org.dahliapass.decisions.health;
