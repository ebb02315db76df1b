/** What the targets say of their own availability, and whether they may get requests. */
package org.dahliapass.decisions.availability;
