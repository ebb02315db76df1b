package org.dahliapass.standins;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import org.dahliapass.standins.VmRegistration.Check;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests for {@link VmListTable}. */
public class VmListTableTest {
    private static final String SERVICE = "dahliapass-vm";

    private VmListTable mTable;

    @BeforeMethod
    public void create() {
        mTable = new VmListTable();
    }

    @Test
    public void changeBecomesVisibleAfterLag() {
        mTable.register(vm(Check.LIVE), 100);
        assertTrue(mTable.visible(SERVICE, 99).isEmpty());
        long index = mTable.index(99);
        assertEquals(mTable.visible(SERVICE, 100), List.of(vm(Check.LIVE)));
        assertEquals(mTable.index(100), index + 1);
        assertTrue(mTable.visible("other", 100).isEmpty());
    }

    @Test
    public void changesBecomeVisibleInOrder() {
        // If the deregistration overtook the delayed registration, the VM would stay listed.
        mTable.register(vm(Check.LIVE), 100);
        mTable.deregister("vm-1", 10);
        assertTrue(mTable.visible(SERVICE, 50).isEmpty());
        assertTrue(mTable.visible(SERVICE, 100).isEmpty());
        mTable.register(vm(Check.LEAVING), 100);
        assertEquals(mTable.visible(SERVICE, 100).get(0).check(), Check.LEAVING);
    }

    private static VmRegistration vm(Check check) {
        return new VmRegistration("vm-1", SERVICE, "127.0.0.1", 8080, Map.of(), check);
    }
}
