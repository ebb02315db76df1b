package org.dahliapass.model;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link ServiceTemplate}. */
public final class ServiceTemplateTest {
    /** Returns the floor's share, the number of targets and the expected floor. */
    @DataProvider
    public Object[][] floors() {
        return new Object[][] {
            {0.55, 100, 55},
            {0.07, 100, 7},
            {0.6, 25, 15},
            {0.8, 6, 5},
            {0.01, 3, 1},
            {0.0, 3, 0},
            {1.0, 3, 3},
        };
    }

    @Test(dataProvider = "floors")
    public void floorTargetsRoundsUp(double share, int count, int floor) {
        List<Target> targets =
                IntStream.rangeClosed(1, count)
                        .mapToObj(port -> new Target(new Endpoint("10.0.0.1", port), "a"))
                        .toList();
        DetectionPolicy detection =
                new DetectionPolicy(0.001, 0.5, 4, Duration.ofSeconds(1), Duration.ZERO);
        ServiceTemplate service =
                new ServiceTemplate(
                        "desk", "himal", targets, 3, 350, share, 6, "/h", "/l", detection,
                        List.of());

        assertEquals(service.floorTargets(), floor);
    }
}
