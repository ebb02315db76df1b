package org.dahliapass.model;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the templates that are shipped with the project. */
public final class ReadyTemplatesTest {
    private static final Path DIRECTORY = Path.of("..", "templates");

    /** Returns the customer, service, number of targets, slots and connections per target. */
    @DataProvider
    public Object[][] deploymentSizes() {
        return new Object[][] {
            {"himal", "desk", 30, 3, 350},
            {"himal", "vault", 6, 3, 350},
            {"vatulele", "rankings", 25, 6, 330},
            {"vatulele", "archive", 6, 6, 330},
        };
    }

    @Test(dataProvider = "deploymentSizes")
    public void serviceHasTheSizeOfItsDeployment(
            String customer, String name, int targets, int slots, int connections) {
        ServiceTemplate service = readAll().get(customer).service(name).orElseThrow();

        assertEquals(service.targets().size(), targets);
        assertEquals(service.slotsPerTarget(), slots);
        assertEquals(service.connectionsPerTarget(), connections);
        assertEquals(
                service.targets().stream().map(Target::availabilityZone).distinct().count(), 3);
    }

    /** Returns the customer, service and path of requests that must run at most once. */
    @DataProvider
    public Object[][] atMostOnceRequests() {
        return new Object[][] {
            {"himal", "desk", "/locks/7"},
            {"himal", "desk", "/sign-offs/7"},
            {"valley-audit", "desk", "/sign-offs/7"},
            {"vatulele", "rankings", "/submissions/7"},
            {"vatulele", "rankings", "/certifications/7"},
        };
    }

    @Test(dataProvider = "atMostOnceRequests")
    public void requestRunsAtMostOnce(String customer, String service, String path) {
        RequestKind kind =
                readAll()
                        .get(customer)
                        .service(service)
                        .flatMap(template -> template.kindOf("POST", path))
                        .orElseThrow();

        assertEquals(kind.idempotency(), Idempotency.AT_MOST_ONCE);
    }

    @Test
    public void fileNamesMatchCustomersAndProvidersExist() {
        Map<String, Template> templates = readAll();

        assertEquals(templates.size(), 3);
        for (Template template : templates.values()) {
            for (ServiceTemplate service : template.services()) {
                ServiceTemplate provided =
                        templates.get(service.provider()).service(service.name()).orElseThrow();
                assertTrue(provided.targets().size() > 0, service.id().toString());
            }
        }
    }

    @Test
    public void himalRequiresMoreEvidenceThanVatulele() {
        Map<String, Template> templates = readAll();
        DetectionPolicy himal = templates.get("himal").service("desk").orElseThrow().detection();
        DetectionPolicy vatulele =
                templates.get("vatulele").service("rankings").orElseThrow().detection();

        assertTrue(himal.falseEjectionTolerance() < vatulele.falseEjectionTolerance());
        assertTrue(himal.slowFactor() > vatulele.slowFactor());
    }

    private static Map<String, Template> readAll() {
        try (Stream<Path> files = Files.list(DIRECTORY)) {
            List<Path> paths = files.filter(path -> path.toString().endsWith(".ini")).toList();
            return paths.stream()
                    .map(ReadyTemplatesTest::read)
                    .collect(Collectors.toMap(Template::customer, Function.identity()));
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    private static String baseName(Path path) {
        return path.getFileName().toString().replace(".ini", "");
    }

    private static Template read(Path path) {
        try {
            Template template = TemplateParser.parse(path.toString(), Files.readString(path));
            assertEquals(
                    template.customer(), baseName(path), "the file name must match the customer");
            return template;
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }
}
