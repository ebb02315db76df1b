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
 * A template in a file of the operator's, which has been checked.
 *
 * @param text its text
 * @param template what it says
 */
record Draft(TemplateText text, Template template) {
    /** The store's values hold a megabyte; half of it leaves room for its own encoding. */
    private static final int MAX_CHARACTERS = 500_000;

    /**
     * Reads and checks a file.
     *
     * @throws SettingsException with all that is wrong
     */
    static Draft read(String file) {
        String text = readText(file);
        if (text.length() > MAX_CHARACTERS) {
            throw problem(file, text.length() + " characters", "at most " + MAX_CHARACTERS);
        }
        return new Draft(new TemplateText(text), TemplateParser.parse(file, text));
    }

    /** Returns the services that the template names, with the cell sizes that it sets. */
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
            throw problem(file, "no readable UTF-8 file", "a template in INI");
        }
    }

    private static SettingsException problem(String file, String met, String allowed) {
        return new SettingsException(List.of(new SettingsProblem(file, "", "", met, allowed)));
    }
}
