package org.dahliapass.model;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.dahliapass.kernel.IniFile;
import org.dahliapass.kernel.IniSection;
import org.dahliapass.kernel.SettingsException;

/**
 * Parses a customer's template from INI text and reports all problems at once.
 *
 * <p>The text has one section {@code [template]} with the key {@code customer}, one section {@code
 * [service NAME]} for each service, and one section {@code [kind SERVICE NAME]} for each kind of
 * request. {@link ServiceReader} and {@link KindReader} list the keys, their bounds and their
 * defaults. Names consist of letters, digits and hyphens. A comment is a separate line that begins
 * with a semicolon. A backslash at the end of a line continues the value in the next line. Kinds
 * match in the order of the file.
 */
public final class TemplateParser {
    /** The expected format of names, for error messages. */
    static final String NAME_FORMAT = "1 to 63 letters, digits and hyphens";

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9-]{1,63}");
    private static final int SERVICE_QUALIFIERS = 1;
    private static final int KIND_QUALIFIERS = 2;

    private final IniFile mFile;
    private final Map<String, IniSection> mServiceSections = new LinkedHashMap<>();
    private final Map<String, KindGroup> mKinds = new LinkedHashMap<>();

    private TemplateParser(IniFile file) {
        mFile = file;
    }

    /**
     * Parses a template.
     *
     * @param fileName the file name in error messages
     * @param text the INI text
     * @throws SettingsException with all problems, if the template is invalid
     */
    public static Template parse(String fileName, String text) {
        TemplateParser parser = new TemplateParser(IniFile.parse(fileName, text));
        Template template = parser.readTemplate();
        parser.mFile.throwIfInvalid();
        return template;
    }

    /** Returns the text if it is a valid name; otherwise empty. */
    static Optional<String> parseName(String text) {
        return Optional.of(text).filter(name -> NAME.matcher(name).matches());
    }

    private Template readTemplate() {
        IniSection templateSection = mFile.section("template");
        String customer =
                templateSection.value("customer", NAME_FORMAT, TemplateParser::parseName, "");
        collectServices();
        collectKinds();
        Set<Endpoint> knownEndpoints = new HashSet<>();
        List<ServiceTemplate> services = new ArrayList<>();
        for (Map.Entry<String, IniSection> entry : mServiceSections.entrySet()) {
            List<RequestKind> kinds = kindsOf(entry.getKey(), entry.getValue());
            ServiceReader reader = new ServiceReader(entry.getValue(), customer, knownEndpoints);
            services.add(reader.read(entry.getKey(), kinds));
        }
        return new Template(customer, services);
    }

    private void collectServices() {
        for (IniSection section : mFile.sectionsWithPrefix("service")) {
            List<String> qualifiers = section.qualifiers();
            if (!areNames(qualifiers, SERVICE_QUALIFIERS)) {
                section.reportProblem("", "an invalid section name", "[service NAME]");
                continue;
            }
            if (mServiceSections.putIfAbsent(qualifiers.get(0), section) != null) {
                section.reportProblem(
                        "", "a duplicate section for this service", "one section per service");
            }
        }
        if (mServiceSections.isEmpty()) {
            mFile.report("", "", "no service", "at least one section [service NAME]");
        }
    }

    private void collectKinds() {
        for (IniSection section : mFile.sectionsWithPrefix("kind")) {
            List<String> qualifiers = section.qualifiers();
            if (!areNames(qualifiers, KIND_QUALIFIERS)) {
                section.reportProblem("", "an invalid section name", "[kind SERVICE NAME]");
                continue;
            }
            String service = qualifiers.get(0);
            if (!mServiceSections.containsKey(service)) {
                section.reportProblem(
                        "",
                        "the undefined service '" + service + "'",
                        "a service with a section [service " + service + "]");
            }
            KindGroup group = mKinds.computeIfAbsent(service, ignored -> new KindGroup());
            group.add(section, new KindReader(section).read(qualifiers.get(1)));
        }
    }

    private List<RequestKind> kindsOf(String service, IniSection section) {
        KindGroup group = mKinds.get(service);
        if (group == null) {
            section.reportProblem(
                    "",
                    "a service without a kind",
                    "at least one section [kind " + service + " NAME]");
            return List.of();
        }
        return group.kinds();
    }

    private static boolean areNames(List<String> qualifiers, int count) {
        return qualifiers.size() == count
                && qualifiers.stream().allMatch(qualifier -> parseName(qualifier).isPresent());
    }

    /** The kinds of one service, with a check that each kind is reachable. */
    private static final class KindGroup {
        private final Set<String> mNames = new LinkedHashSet<>();
        private final List<RequestKind> mKinds = new ArrayList<>();

        void add(IniSection section, RequestKind kind) {
            if (!mNames.add(kind.name())) {
                section.reportProblem(
                        "", "a duplicate section for this kind", "one section per kind");
                return;
            }
            if (section.isValid()) {
                mKinds.stream()
                        .filter(earlier -> covers(earlier, kind))
                        .findFirst()
                        .ifPresent(earlier -> reportCovered(section, earlier, kind));
                mKinds.add(kind);
            }
        }

        List<RequestKind> kinds() {
            return mKinds;
        }

        private static boolean covers(RequestKind earlier, RequestKind later) {
            if (later.prefix() && !earlier.prefix()) {
                return false;
            }
            return earlier.matches(later.method(), later.pathPrefix());
        }

        private static void reportCovered(
                IniSection section, RequestKind earlier, RequestKind kind) {
            boolean samePath =
                    earlier.prefix() == kind.prefix()
                            && earlier.pathPrefix().equals(kind.pathPrefix());
            String actual =
                    samePath
                            ? "the method and path of kind '" + earlier.name() + "'"
                            : "a path that is unreachable because the earlier kind '"
                                    + earlier.name()
                                    + "' covers it";
            section.reportProblem(
                    "path", actual, "a path that is not covered, or this section before the other");
        }
    }
}
