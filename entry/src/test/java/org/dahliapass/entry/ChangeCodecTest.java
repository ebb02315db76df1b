package org.dahliapass.entry;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.dahliapass.decisions.configuration.ChangeRecord;
import org.dahliapass.decisions.configuration.CustomerGroup;
import org.dahliapass.decisions.configuration.GroupSnapshot;
import org.dahliapass.decisions.configuration.RecordsRequest;
import org.dahliapass.decisions.configuration.RecordsResponse;
import org.dahliapass.decisions.configuration.ServiceUse;
import org.dahliapass.model.ServiceId;
import org.testng.annotations.Test;

/** Tests for {@link ChangeCodec}. */
public final class ChangeCodecTest {
    private static final ServiceId DESK = new ServiceId("himal", "desk");
    private static final ChangeRecord RECORD =
            new ChangeRecord(
                    7, "himal", "d1", List.of(new ServiceUse(DESK, 6)), "operation", "asha", 3);

    @Test
    public void changeRecordRoundTrips() {
        assertEquals(ChangeCodec.decode(ChangeCodec.encode(RECORD)), RECORD);
    }

    @Test
    public void requestsRoundTripWithAndWithoutProviders() {
        RecordsRequest with =
                new RecordsRequest(4, List.of(CustomerGroup.PROVIDERS, CustomerGroup.of(DESK)));
        RecordsRequest without = new RecordsRequest(0, List.of(CustomerGroup.of(DESK)));
        assertEquals(ChangeCodec.decode(ChangeCodec.encode(with)), with);
        assertEquals(ChangeCodec.decode(ChangeCodec.encode(without)), without);
    }

    @Test
    public void responseRoundTripsWithBothKindsOfGroups() {
        RecordsResponse response =
                new RecordsResponse(
                        2,
                        7,
                        List.of(RECORD),
                        List.of(
                                new GroupSnapshot(CustomerGroup.PROVIDERS, List.of(RECORD)),
                                new GroupSnapshot(CustomerGroup.of(DESK), List.of())));
        assertEquals(ChangeCodec.decode(ChangeCodec.encode(response)), response);
    }
}
