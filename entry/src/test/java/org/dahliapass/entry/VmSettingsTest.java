package org.dahliapass.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.time.Duration;
import org.dahliapass.kernel.IniFile;
import org.dahliapass.kernel.SettingsException;
import org.testng.annotations.Test;

/** Tests for {@link VmSettings}. */
public final class VmSettingsTest {
    private static final String GOOD =
            """
            [vm]
            fleet = kathmandu
            name = vm-01
            availability-zone = kathmandu-a
            address = 10.20.0.1
            callers-port = 8080
            peers-port = 7000
            operators-port = 9000
            [platform]
            store = 10.20.0.250:8500
            vm-list = 10.20.0.251:8500
            [control]
            ask-time-to-live = 20s
            """;

    private static VmSettings read(String text) {
        return VmSettings.from(IniFile.parse("vm.ini", text));
    }

    @Test
    public void readsGivenValuesAndDefaults() {
        VmSettings settings = read(GOOD);
        assertEquals(settings.name(), "vm-01");
        assertEquals(settings.discoveryTimeToLive(), Duration.ofSeconds(20));
        assertEquals(settings.gossipPeriod(), Duration.ofSeconds(1));
    }

    @Test
    public void controlSectionIsOptional() {
        VmSettings settings = read(GOOD.substring(0, GOOD.indexOf("[control]")));
        assertEquals(settings.discoveryTimeToLive(), Duration.ofSeconds(30));
    }

    @Test
    public void reportsAllProblemsByFileSectionAndKey() {
        String bad =
                GOOD.replace("name = vm-01", "name = VM 1")
                        .replace("callers-port = 8080", "callers-port = 808080")
                        .replace("store = 10.20.0.250:8500\n", "colour = blue\n");
        SettingsException failure = expectThrows(SettingsException.class, () -> read(bad));
        assertEquals(failure.problems().size(), 4, failure.getMessage());
        assertTrue(failure.getMessage().contains("vm.ini [vm] name: met 'VM 1'"));
        assertTrue(failure.getMessage().contains("vm.ini [vm] callers-port: met '808080'"));
        assertTrue(failure.getMessage().contains("vm.ini [platform] store: met nothing"));
        assertTrue(failure.getMessage().contains("vm.ini [platform] colour"));
    }
}
