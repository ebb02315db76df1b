/** Routes, services, request limits and target registrations from the platform's store. */
package org.dahliapass.model.routing;
