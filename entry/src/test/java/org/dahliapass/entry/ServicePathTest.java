package org.dahliapass.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests for {@link ServicePath}. */
public final class ServicePathTest {

    @Test
    public void parsesCustomerServicePathAndQuery() {
        ServicePath path =
                ServicePath.parse("/services/himal/desk/listings/7?page=2").orElseThrow();
        assertEquals(path.customer(), "himal");
        assertEquals(path.service(), "desk");
        assertEquals(path.path(), "/listings/7");
        assertEquals(path.pathAndQuery(), "/listings/7?page=2");
    }

    @Test
    public void keepsNecessaryPercentEncoding() {
        assertTrue(ServicePath.parse("/services/himal/desk/listings/a%20b").isPresent());
    }

    @DataProvider
    public Object[] ambiguous() {
        return new Object[] {
            "/services/himal/desk/x/../sign-offs",
            "/services/himal/desk/./sign-offs",
            "/services/himal/desk//sign-offs",
            "/services/himal/desk/sign%2Doffs",
            "/services/himal/desk/sign%2doffs",
            "/services/himal/desk/%73ign-offs",
            "/services/himal/desk/x%2Fsign-offs",
            "/services/himal/desk/..",
        };
    }

    // An encoded at-most-once path must not match an idempotent kind: the target decodes it, and a
    // retry would run the operation twice.
    @Test(dataProvider = "ambiguous")
    public void rejectsAmbiguousPaths(String path) {
        assertTrue(ServicePath.parse(path).isEmpty(), path);
    }

    @Test
    public void rejectsPathsWithoutServiceOrRest() {
        assertTrue(ServicePath.parse("/services/himal").isEmpty());
        assertTrue(ServicePath.parse("/services//desk/x").isEmpty());
        assertTrue(ServicePath.parse("/other/himal/desk/x").isEmpty());
    }
}
