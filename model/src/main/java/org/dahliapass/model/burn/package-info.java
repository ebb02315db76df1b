/** What a VM remembers of the answers that it gave, for the report on service-level burn. */
package org.dahliapass.model.burn;
