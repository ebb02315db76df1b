package org.dahliapass.registry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.util.List;
import org.dahliapass.decisions.configuration.ChangeRecord;
import org.dahliapass.decisions.configuration.CustomerIndex;
import org.dahliapass.decisions.configuration.Head;
import org.dahliapass.decisions.configuration.Pointer;
import org.dahliapass.decisions.configuration.ServiceUse;
import org.dahliapass.decisions.configuration.StoreItem;
import org.dahliapass.decisions.configuration.StoreKey;
import org.dahliapass.decisions.configuration.TemplateText;
import org.dahliapass.kernel.OperationException;
import org.dahliapass.model.ServiceId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that each kind of value is decoded from its encoded text. */
public final class ConfigurationCodecTest {
    private static final ServiceId SERVICE = new ServiceId("himal", "desk");
    private static final ChangeRecord RECORD =
            new ChangeRecord(
                    3, "himal", "ab", List.of(new ServiceUse(SERVICE, 4)), "op-1", "Asha", 2);

    @DataProvider
    public Object[][] items() {
        return new Object[][] {
            {StoreKey.HEAD, new Head(3, List.of(RECORD))},
            {StoreKey.pointer("himal"), Pointer.of(RECORD)},
            {StoreKey.customers(SERVICE), CustomerIndex.of("himal")},
            {StoreKey.text("himal", "ab"), new TemplateText("[customer]\nname = himal\n")},
        };
    }

    @Test(dataProvider = "items")
    public void decodeReturnsTheEncodedItem(StoreKey key, StoreItem item) {
        assertEquals(ConfigurationCodec.decode(key, ConfigurationCodec.encode(item)), item);
    }

    @Test
    public void decodeIgnoresUnknownFields() {
        assertEquals(
                ConfigurationCodec.decode(
                        StoreKey.HEAD, "{\"number\":0,\"ring\":[],\"added\":true}"),
                Head.EMPTY);
    }

    @Test
    public void decodeOfInvalidTextReportsTheKey() {
        OperationException failure =
                expectThrows(
                        OperationException.class,
                        () -> ConfigurationCodec.decode(StoreKey.HEAD, "{"));
        assertEquals(failure.operation(), "decode head");
    }
}
