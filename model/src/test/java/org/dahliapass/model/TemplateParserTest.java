package org.dahliapass.model;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.time.Duration;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.dahliapass.kernel.SettingsException;
import org.dahliapass.kernel.SettingsProblem;
import org.dahliapass.model.burn.Outcome;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link TemplateParser}. */
public final class TemplateParserTest {
    private static final String VALID =
            """
            [template]
            customer = himal
            [service desk]
            targets = 10.1.0.11:8080@kathmandu-a, 10.1.0.12:8080@kathmandu-b
            slots = 3
            connections = 350
            floor = 60%
            slow-factor = 4
            [service archive]
            provider = vatulele
            [kind desk listing]
            method = GET
            path = /listings/**
            idempotent = yes
            deadline = 30s
            patience = 10s
            late-after = 5s
            retry-budget = 10%
            [kind desk lock]
            method = POST
            path = /locks
            idempotent = no
            [kind archive export]
            method = GET
            path = /exports/**
            idempotent = yes
            bulky = yes
            """;
    private static final int MUTATIONS = 4000;

    @Test
    public void parseReadsValidTemplate() {
        Template template = TemplateParser.parse("t.ini", VALID);

        ServiceTemplate desk = template.service("desk").orElseThrow();
        assertEquals(template.customer(), "himal");
        assertEquals(desk.id(), new ServiceId("himal", "desk"));
        assertEquals(
                desk.targets().get(1), new Target(new Endpoint("10.1.0.12", 8080), "kathmandu-b"));
        assertEquals(desk.slotsPerTarget(), 3);
        assertEquals(desk.floorTargets(), 2);
        assertEquals(desk.kindOf("GET", "/listings/7").orElseThrow().name(), "listing");
        assertFalse(desk.kindOf("GET", "/listings").isPresent());
    }

    @Test
    public void parseAppliesDefaults() {
        ServiceTemplate desk = TemplateParser.parse("t.ini", VALID).service("desk").orElseThrow();
        RequestKind lock = desk.kindOf("POST", "/locks").orElseThrow();

        assertEquals(desk.cellSize(), 6);
        assertEquals(desk.loadPath(), "/load");
        assertEquals(lock.deadline(), Duration.ofSeconds(30));
        assertEquals(lock.retryShare(), 0.0);
        assertEquals(lock.maximumBodyBytes(), 64 << 10);
    }

    @Test
    public void parseResolvesReferenceToProvider() {
        ServiceTemplate archive =
                TemplateParser.parse("t.ini", VALID).service("archive").orElseThrow();

        assertEquals(archive.id(), new ServiceId("vatulele", "archive"));
        assertEquals(archive.targets(), List.of());
    }

    @Test
    public void parseLimitsDefaultsToShortDeadline() {
        String text = VALID.replace("path = /locks", "path = /locks\ndeadline = 2s");
        RequestKind lock =
                TemplateParser.parse("t.ini", text)
                        .service("desk")
                        .flatMap(desk -> desk.kindOf("POST", "/locks"))
                        .orElseThrow();

        assertEquals(lock.patience(), Duration.ofSeconds(2));
        assertEquals(lock.lateAfter(), Duration.ofSeconds(2));
    }

    @Test
    public void parseReadsBadOutcomes() {
        String text = VALID.replace("bulky = yes", "bad-outcomes = failed, cut");
        Template template = TemplateParser.parse("t.ini", text);
        RequestKind export =
                template.service("archive").orElseThrow().kindOf("GET", "/exports/7").orElseThrow();
        RequestKind lock =
                template.service("desk").orElseThrow().kindOf("POST", "/locks").orElseThrow();

        assertTrue(export.isBad(Outcome.CUT));
        assertFalse(export.isBad(Outcome.REFUSED));
        assertTrue(lock.isBad(Outcome.REFUSED));
        assertFalse(lock.isBad(Outcome.GOOD));
    }

    /** Returns a text to replace, its replacement, and the section and key of the problem. */
    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {"customer = himal", "customer = hi mal", "template", "customer"},
            {"customer = himal", "", "template", "customer"},
            {"[template]", "[templates]", "template", ""},
            {"slots = 3", "slots = 0", "service desk", "slots"},
            {"slots = 3", "", "service desk", "slots"},
            {"slots = 3", "slots = 3\nslots = 4", "service desk", "slots"},
            {"slots = 3", "slots = 3\nslot = 4", "service desk", "slot"},
            {"floor = 60%", "floor = 160%", "service desk", "floor"},
            {"slow-factor = 4", "slow-factor = 1", "service desk", "slow-factor"},
            {"slow-factor = 4", "failure-share = 0%", "service desk", "failure-share"},
            {"slow-factor = 4", "load-path = load", "service desk", "load-path"},
            {"slow-factor = 4", "provider = other", "service desk", "targets"},
            {"10.1.0.12:8080", "10.1.0.11:8080", "service desk", "targets"},
            {"10.1.0.12:8080", "10.1.0.256:8080", "service desk", "targets"},
            {"10.1.0.12:8080", "desk-two:8080", "service desk", "targets"},
            {"10.1.0.12:8080@", "10.1.0.12:8080", "service desk", "targets"},
            {"targets = ", "targets = ,;", "service desk", "targets"},
            {"targets = ", "; ", "service desk", "targets"},
            {"provider = vatulele", "provider = himal", "service archive", "provider"},
            {"provider = vatulele", "", "service archive", "targets"},
            {"provider = vatulele", "provider = v\nslots = 3", "service archive", "slots"},
            {"provider = vatulele", "provider = v\ncell = 3", "service archive", "cell"},
            {"[service archive]", "[service archive two]", "service archive two", ""},
            {"[kind archive export]", "[kind archive]", "service archive", ""},
            {"[kind archive export]", "[kind vault export]", "kind vault export", ""},
            {"[kind desk lock]", "[kind desk  listing]", "kind desk  listing", ""},
            {"method = POST", "method = post", "kind desk lock", "method"},
            {"path = /locks", "path = locks", "kind desk lock", "path"},
            {"path = /locks", "path = /a/../locks", "kind desk lock", "path"},
            {"path = /locks", "path = /locks**", "kind desk lock", "path"},
            {"idempotent = no", "idempotent = maybe", "kind desk lock", "idempotent"},
            {
                "idempotent = no",
                "idempotent = no\nretry-budget = 1%",
                "kind desk lock",
                "retry-budget"
            },
            {
                "idempotent = no",
                "idempotent = no\nhedge-after = 1s",
                "kind desk lock",
                "hedge-after"
            },
            {"idempotent = no", "idempotent = no\nobjective = 100%", "kind desk lock", "objective"},
            {"patience = 10s", "patience = 31s", "kind desk listing", "patience"},
            {"late-after = 5s", "late-after = 31s", "kind desk listing", "late-after"},
            {"retry-budget = 10%", "hedge-after = 31s", "kind desk listing", "hedge-after"},
            {"bulky = yes", "bad-outcomes = good", "kind archive export", "bad-outcomes"},
            {"bulky = yes", "bad-outcomes = ,", "kind archive export", "bad-outcomes"},
            {"deadline = 30s", "deadline = soon", "kind desk listing", "deadline"},
            {"POST\npath = /locks", "GET\npath = /listings/**", "kind desk lock", "path"},
            {"POST\npath = /locks", "GET\npath = /listings/new", "kind desk lock", "path"},
            {"POST\npath = /locks", "GET\npath = /listings/new/**", "kind desk lock", "path"},
        };
    }

    @Test(dataProvider = "faults")
    public void parseReportsSectionAndKeyOfFault(
            String valid, String invalid, String section, String key) {
        assertTrue(VALID.contains(valid), "the valid template does not contain '" + valid + "'");
        String text = VALID.replace(valid, invalid);

        List<SettingsProblem> problems = problemsOf(text);

        assertTrue(
                problems.stream().anyMatch(p -> p.section().equals(section) && p.key().equals(key)),
                "problems: " + problems);
        assertTrue(
                problems.stream().noneMatch(p -> p.actual().isEmpty() || p.expected().isEmpty()));
    }

    /** Returns a text to replace and its replacement, after which the template remains valid. */
    @DataProvider
    public Object[][] validChanges() {
        return new Object[][] {
            {"floor = 60%", "floor = 100%"},
            {"patience = 10s", "patience = 30s"},
            {"late-after = 5s", "late-after = 30s"},
            {"idempotent = no", "idempotent = no\nretry-budget = 0%\nhedge-after = 0s"},
            {"POST\npath = /locks", "GET\npath = /listings"},
            {"POST\npath = /locks", "POST\npath = /listings/**"},
            {"POST\npath = /locks", "GET\npath = /**"},
        };
    }

    @Test(dataProvider = "validChanges")
    public void parseAcceptsValidChange(String before, String after) {
        assertTrue(VALID.contains(before), "the valid template does not contain '" + before + "'");

        Template template = TemplateParser.parse("t.ini", VALID.replace(before, after));

        assertEquals(template.services().size(), 2);
    }

    @Test
    public void parseReportsExactlyAllFaults() {
        String text =
                VALID.replace("deadline = 30s", "deadline = soon")
                        .replace("slots = 3", "slots = many")
                        .replace("bulky = yes", "bulky = often");

        SettingsException failure =
                expectThrows(
                        SettingsException.class, () -> TemplateParser.parse("himal.ini", text));

        assertEquals(failure.problems().size(), 3, failure.getMessage());
        assertTrue(
                failure.getMessage()
                        .contains(
                                "himal.ini [service desk] slots: met 'many'; allowed: a whole"
                                        + " number from 1 to 10000"),
                failure.getMessage());
    }

    @Test
    public void parseReportsTheKindThatMakesAnotherUnreachable() {
        String text = VALID.replace("POST\npath = /locks", "GET\npath = /listings/new");

        assertTrue(problemsOf(text).get(0).actual().contains("'listing'"));
    }

    // Guards against crashes of VMs that parse a corrupted template.
    @Test
    public void parseMutatedTemplateReturnsOrThrowsSettingsException() {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(20_261_202L);
        int validTexts = 0;
        for (int trial = 0; trial < MUTATIONS; trial++) {
            String text = mutate(random);
            try {
                Template template = TemplateParser.parse("t.ini", text);
                assertFalse(template.services().isEmpty());
                validTexts++;
            } catch (SettingsException expected) {
                assertFalse(expected.problems().isEmpty(), text);
            }
        }
        assertTrue(
                validTexts > 0 && validTexts < MUTATIONS,
                "expected valid and invalid texts, valid: " + validTexts + " of " + MUTATIONS);
    }

    private static String mutate(RandomGenerator random) {
        StringBuilder text = new StringBuilder(VALID);
        int steps = 1 + random.nextInt(4);
        for (int step = 0; step < steps; step++) {
            int from = random.nextInt(text.length());
            int to = Math.min(text.length(), from + random.nextInt(40));
            switch (random.nextInt(4)) {
                case 0 -> text.delete(from, to);
                case 1 -> text.insert(random.nextInt(text.length()), text.substring(from, to));
                case 2 ->
                        text.setCharAt(
                                from, "[]=;%/\\\n\r\t:@,#${}\u00e9\0 9".charAt(random.nextInt(20)));
                default -> text.setCharAt(from, (char) (32 + random.nextInt(95)));
            }
        }
        return text.toString();
    }

    private static List<SettingsProblem> problemsOf(String text) {
        return expectThrows(SettingsException.class, () -> TemplateParser.parse("t.ini", text))
                .problems();
    }
}
