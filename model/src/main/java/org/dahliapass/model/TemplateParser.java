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
 * Reads a customer's template from INI text and reports all its problems at once.
 *
 * <p>The text has one section {@code [template]} with the key {@code customer}, one section {@code
 * [service NAME]} for each service, and one section {@code [kind SERVICE NAME]} for each kind of
 * request. {@link ServiceReader} and {@link KindReader} list the keys, their bounds and their
 * defaults. Names are letters, digits and hyphens. A comment takes a line of its own, which begins
 * with a semicolon; a value goes on in the next line after a backslash. Kinds are tried in the
 * order of the file.
 */
public final class TemplateParser {
    /** What may stand where a customer, a service, a kind or an availability zone is named. */
    static final String NAME_FORMAT = "1 to 63 letters, digits and hyphens";

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9-]{1,63}");
    private static final int SERVICE_WORDS = 1;
    private static final int KIND_WORDS = 2;

    private final IniFile mFile;
    private final Map<String, IniSection> mServiceSections = new LinkedHashMap<>();
    private final Map<String, KindGroup> mKinds = new LinkedHashMap<>();

    private TemplateParser(IniFile file) {
        mFile = file;
    }

    /**
     * Reads a template.
     *
     * @param fileName what problems call the file
     * @param text the INI text
     * @throws SettingsException with all problems: missing, unknown, out of range, contradictory
     */
    public static Template parse(String fileName, String text) {
        TemplateParser parser = new TemplateParser(IniFile.parse(fileName, text));
        Template template = parser.readTemplate();
        parser.mFile.throwIfInvalid();
        return template;
    }

    /** Returns the text if it is a name. */
    static Optional<String> parseName(String text) {
        return Optional.of(text).filter(name -> NAME.matcher(name).matches());
    }

    private Template readTemplate() {
        IniSection head = mFile.section("template");
        String customer = head.value("customer", NAME_FORMAT, TemplateParser::parseName, "");
        collectServices();
        collectKinds();
        Set<Endpoint> seen = new HashSet<>();
        List<ServiceTemplate> services = new ArrayList<>();
        for (Map.Entry<String, IniSection> entry : mServiceSections.entrySet()) {
            List<RequestKind> kinds = kindsOf(entry.getKey(), entry.getValue());
            ServiceReader reader = new ServiceReader(entry.getValue(), customer, seen);
            services.add(reader.read(entry.getKey(), kinds));
        }
        return new Template(customer, services);
    }

    private void collectServices() {
        for (IniSection section : mFile.sectionsWithPrefix("service")) {
            List<String> words = section.qualifiers();
            if (!areNames(words, SERVICE_WORDS)) {
                section.reportProblem("", "a wrong section name", "[service NAME]");
                continue;
            }
            if (mServiceSections.putIfAbsent(words.get(0), section) != null) {
                section.reportProblem("", "a second section of this service", "one");
            }
        }
        if (mServiceSections.isEmpty()) {
            mFile.report("", "", "no service", "at least one section [service NAME]");
        }
    }

    private void collectKinds() {
        for (IniSection section : mFile.sectionsWithPrefix("kind")) {
            List<String> words = section.qualifiers();
            if (!areNames(words, KIND_WORDS)) {
                section.reportProblem("", "a wrong section name", "[kind SERVICE NAME]");
                continue;
            }
            String service = words.get(0);
            if (!mServiceSections.containsKey(service)) {
                section.reportProblem(
                        "",
                        "the service '" + service + "', which has no section",
                        "a service that has a section [service " + service + "]");
            }
            KindGroup group = mKinds.computeIfAbsent(service, ignored -> new KindGroup());
            group.add(section, new KindReader(section).read(words.get(1)));
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

    private static boolean areNames(List<String> words, int count) {
        return words.size() == count
                && words.stream().allMatch(word -> parseName(word).isPresent());
    }

    /** The kinds of one service, checked against each other. */
    private static final class KindGroup {
        private final Set<String> mNames = new LinkedHashSet<>();
        private final List<RequestKind> mKinds = new ArrayList<>();

        void add(IniSection section, RequestKind kind) {
            if (!mNames.add(kind.name())) {
                section.reportProblem("", "a second section of this kind", "one");
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
            boolean same =
                    earlier.prefix() == kind.prefix()
                            && earlier.pathPrefix().equals(kind.pathPrefix());
            String met =
                    same
                            ? "the method and path of kind '" + earlier.name() + "'"
                            : "a path that no request reaches, as the earlier kind '"
                                    + earlier.name()
                                    + "' covers it";
            section.reportProblem(
                    "path", met, "a path of its own, or this section before that kind's");
        }
    }
}
