/** The traffic decisions of one service on one VM behind one lock, and what they count. */
package org.dahliapass.traffic;
