package org.dahliapass.operator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.dahliapass.decisions.configuration.ServiceUse;
import org.dahliapass.decisions.configuration.TemplateText;
import org.dahliapass.kernel.SettingsException;
import org.dahliapass.kernel.SettingsProblem;
import org.dahliapass.model.ServiceTemplate;
import org.dahliapass.model.Template;
import org.dahliapass.model.TemplateParser;

/**
 * A validated template file.
 *
 * @param text the file's text
 * @param template the parsed template
 */
record Draft(TemplateText text, Template template) {
    /** Half of the store's limit of 1 MB for a value, to allow for encoding overhead. */
    private static final int MAX_CHARACTERS = 500_000;

    /**
     * Reads and validates a template file.
     *
     * @throws SettingsException with all problems found
     */
    static Draft read(String file) {
        String text = readText(file);
        if (text.length() > MAX_CHARACTERS) {
            throw problem(file, text.length() + " characters", "at most " + MAX_CHARACTERS);
        }
        return new Draft(new TemplateText(text), TemplateParser.parse(file, text));
    }

    /** Returns the template's services, with the cell sizes of those that the customer provides. */
    List<ServiceUse> services() {
        return template.services().stream().map(this::toServiceUse).toList();
    }

    private ServiceUse toServiceUse(ServiceTemplate service) {
        boolean provided = service.provider().equals(template.customer());
        return new ServiceUse(service.id(), provided ? service.cellSize() : 0);
    }

    private static String readText(String file) {
        try {
            return Files.readString(Path.of(file));
        } catch (IOException failure) {
            throw problem(file, "no readable UTF-8 file", "a template in INI format");
        }
    }

    private static SettingsException problem(String file, String actual, String expected) {
        return new SettingsException(List.of(new SettingsProblem(file, "", "", actual, expected)));
    }
}
