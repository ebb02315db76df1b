package org.dahliapass.kernel;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.Test;

/** Tests of {@link JsonObject}. */
public final class JsonObjectTest {
    @Test
    public void fieldsAreWrittenInInsertionOrderAndByType() {
        JsonObject object =
                new JsonObject().put("b", 1).put("a", 0.5).put("c", true).put("d", (String) null);
        assertEquals(object.toString(), "{\"b\":1,\"a\":0.5,\"c\":true,\"d\":null}");
    }

    @Test
    public void listsContainStringsAndObjects() {
        JsonObject object =
                new JsonObject().putList("list", List.of("x", new JsonObject().put("y", 2)));
        assertEquals(object.toString(), "{\"list\":[\"x\",{\"y\":2}]}");
    }

    /** A caller-supplied id must not break a log line. */
    @Test
    public void quotesAndLineEndsAreEscaped() {
        assertEquals(new JsonObject().put("a", "\"\n").toString(), "{\"a\":\"\\\"\\n\"}");
    }
}
